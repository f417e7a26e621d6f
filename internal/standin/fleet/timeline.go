package fleet

import (
	"encoding/json"
	"fmt"
	"html"
	"io"
	"strings"
	"sync"
	"time"
)

// maxEntries bounds the entries of a timeline; further ones are only counted, in Timeline.Dropped.
const maxEntries = 500_000

// Entry is an event on the timeline: a fault, or a changed view of a sender.
type Entry struct {
	At      float64           `json:"at"`               // seconds since the fleet was created
	Action  Action            `json:"do"`               // of a script, or "ready", "terminate", "view"
	Senders []int             `json:"who,omitempty"`    // the processes, by number; "view": the reporter
	From    []int             `json:"from,omitempty"`   // SetLink, Reset: the source of the link
	To      []int             `json:"to,omitempty"`     // SetLink, Reset: its destination
	Faults  *Faults           `json:"faults,omitempty"` // SetLink: the new faults; nil otherwise
	States  map[string]string `json:"sees,omitempty"`   // "view": the state of each sender, by name
	Share   float64           `json:"part,omitempty"`   // "view": share of each rate that the sender may use
}

// Timeline records what happened to a fleet. It can be written while the fleet is running.
type Timeline struct {
	mu      sync.Mutex           // guards Entries, Dropped and Calls
	start   time.Time            // when the fleet was created
	Names   []string             `json:"names"`             // of the senders, by number
	Entries []Entry              `json:"entries"`           // in order of time, at most maxEntries
	Dropped int                  `json:"dropped,omitempty"` // entries beyond maxEntries
	Calls   map[string][]CallRow `json:"calls,omitempty"`   // recorded calls, by partner
}

// CallRow is one call that a partner recorded.
type CallRow struct {
	At   float64 `json:"at"`   // seconds since the fleet was created
	From string  `json:"from"` // address of the sender, without the port
	ID   string  `json:"id"`   // of the message
}

// newTimeline returns an empty timeline that starts now.
func newTimeline() *Timeline { return &Timeline{start: time.Now(), Calls: map[string][]CallRow{}} }

// setNames appends the names of senders, given in order of number.
func (t *Timeline) setNames(list []*Sender) {
	for _, s := range list {
		t.Names = append(t.Names, s.Name)
	}
}

// Offset returns the time from the creation of the fleet to at, in seconds, as in Entry.At.
func (t *Timeline) Offset(at time.Time) float64 { return at.Sub(t.start).Seconds() }

// add appends an entry and sets its time, or counts it as dropped if the timeline is full.
func (t *Timeline) add(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.Entries) >= maxEntries {
		t.Dropped++
		return
	}
	e.At = t.Offset(time.Now())
	t.Entries = append(t.Entries, e)
}

// WriteJSON writes the timeline as JSON, indented by one space.
func (t *Timeline) WriteJSON(w io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(t)
}

// stateColors are the colors in the drawing, by the state that a sender reports of another.
var stateColors = map[string]string{"here": "#7fbf7f", "joining": "#bcdcf5", "unreachable": "#f5d76e",
	"suspected": "#f0954b",
	"gone":      "#c0392b", "left": "#999999", "forgotten": "#cccccc", "other version": "#b48ead", "paused": "#8e6bbf"}

// WriteSVG draws the timeline: a row for each sender, with a strip for the state of each sender in
// its view, its share as a line, and faults as marks above.
func (t *Timeline) WriteSVG(w io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	const width, strip, left = 1200.0, 7.0, 90.0
	end := 1.0
	for _, e := range t.Entries {
		end = max(end, e.At)
	}
	n := len(t.Names)
	row := strip*float64(n) + 14
	x := func(at float64) float64 { return left + at/end*(width-left-10) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" font-family="sans-serif" font-size="10">`+"\n", width, 60+row*float64(n))
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	rowByName := map[string]int{}
	for i, name := range t.Names {
		rowByName[name] = i
		fmt.Fprintf(&b, `<text x="4" y="%.0f">%s</text>`+"\n", 50+row*float64(i)+row/2, html.EscapeString(name))
	}
	type span struct {
		from   float64
		states map[string]string
		share  float64
	}
	last := make([]span, n)
	draw := func(i int, to float64) {
		for name, state := range last[i].states {
			k, ok := rowByName[name]
			if !ok {
				continue
			}
			fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%s of %s: %s</title></rect>`+"\n", x(last[i].from),
				50+row*float64(i)+strip*float64(k), max(x(to)-x(last[i].from), 0.5), strip-1, stateColors[state],
				html.EscapeString(t.Names[i]), html.EscapeString(name), state)
		}
		if last[i].states != nil {
			y := 50 + row*float64(i) + strip*float64(n)*(1-last[i].share)
			fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" stroke="black"/>`+"\n", x(last[i].from), x(to), y, y)
		}
	}
	for _, e := range t.Entries {
		if e.Action == "view" {
			i := e.Senders[0]
			draw(i, e.At)
			last[i] = span{e.At, e.States, e.Share}
			continue
		}
		if e.Action == Kill || e.Action == "terminate" {
			for _, i := range e.Senders {
				draw(i, e.At)
				last[i] = span{}
			}
		}
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="38" y2="46" stroke="#555"><title>%.2f s: %s %v %v to %v</title></line>`+"\n", x(e.At), x(e.At), e.At, e.Action, e.Senders, e.From, e.To)
		if len(e.Senders) > 0 {
			fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" font-size="8">%s</text>`+"\n", x(e.At),
				48+row*float64(e.Senders[0]), e.Action)
		}
	}
	for i := range last {
		draw(i, end)
	}
	at := left
	for _, state := range []string{"here", "joining", "unreachable", "suspected", "paused", "gone", "left"} {
		fmt.Fprintf(&b, `<rect x="%.0f" y="8" width="10" height="10" fill="%s"/><text x="%.0f" y="17">%s</text>`+"\n", at, stateColors[state], at+14, state)
		at += 100
	}
	fmt.Fprintf(&b, `<text x="%.0f" y="17">%.0f s; line: part of the rate</text></svg>`+"\n", at, end)
	_, err := io.WriteString(w, b.String())
	return err
}
