package page

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"cometrack/internal/load"
)

// The page refers to no other file, escapes names and texts, shows the faults, and its plots are
// well-formed XML; likewise for a run without messages.
func TestPage(t *testing.T) {
	s := &load.Scenario{Late: load.Duration(time.Microsecond), Phases: []load.Phase{{Name: "a<b"}, {Name: "c"}}}
	r := load.NewRecorder()
	for i := range 5000 {
		due := time.Duration(i) * time.Millisecond
		r.Window(due).Due++
		r.Lateness.Add(time.Millisecond)
		r.RecordAcceptance(load.Key{Phase: i % 2, Class: "safe"}, due, time.Duration(i)*time.Microsecond)
		r.RecordDelivery(load.Key{Phase: i % 2, Class: "safe"}, due, time.Duration(2*i)*time.Microsecond)
	}
	full := s.Report(r, 5*time.Second)
	full.Dropped, full.Faults = 7, []load.Fault{{N: 3, What: "ended <twice>"}}
	for what, report := range map[string]*load.Report{"full": full, "empty": s.Report(load.NewRecorder(), 0)} {
		var b strings.Builder
		if err := Write(&b, "run & <more>", report); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		page := b.String()
		for _, bad := range []string{"src=", "href=\"http", "@import", "<script", "<twice>", "a<b", "NaN", "<more>"} {
			if strings.Contains(page, bad) {
				t.Errorf("%s: %q is in it", what, bad)
			}
		}
		if what == "full" {
			for _, want := range []string{"Not valid", "7 messages were due", "ended &lt;twice&gt;", "a&lt;b", "99.9%"} {
				if !strings.Contains(page, want) {
					t.Errorf("%q is not in it", want)
				}
			}
		}
		if n := strings.Count(page, "<svg"); n != 3 {
			t.Errorf("%s: %d plots", what, n)
		}
		for rest := page; ; {
			i, j := strings.Index(rest, "<svg"), strings.Index(rest, "</svg>")
			if i < 0 {
				break
			}
			for d := xml.NewDecoder(strings.NewReader(rest[i : j+6])); ; {
				if _, err := d.Token(); errors.Is(err, io.EOF) {
					break
				} else if err != nil {
					t.Fatalf("%s: a plot is not well-formed: %v", what, err)
				}
			}
			rest = rest[j+6:]
		}
	}
}
