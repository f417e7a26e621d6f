package jsonl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/sink"
)

// Notices are written completely, in order, and confirmed afterwards. Files are rotated and the oldest
// removed.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	s := New(Options{Path: filepath.Join(dir, "ends.jsonl"), MaxMB: 1, MaxBackups: 2, MaxQueued: 1 << 20,
		Log: slog.New(slog.DiscardHandler)})
	confirmed := make(chan []string, 1024)
	go s.Run(t.Context(), func(ids []string) { confirmed <- ids })
	const count = 20_000
	partner := strings.Repeat("p", 120)
	for i := range count {
		s.Add(&message.Message{Partner: partner, Class: "c"},
			message.End{ID: fmt.Sprintf("%06d", i), State: message.Delivered, Attempts: 1})
	}
	for n := 0; n < count; {
		select {
		case ids := <-confirmed:
			for _, id := range ids {
				if id != fmt.Sprintf("%06d", n) {
					t.Fatalf("confirmed %s after %d", id, n)
				}
				n++
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d confirmed", n)
		}
	}
	var list []string
	for deadline := time.Now().Add(20 * time.Second); len(list) != 3; { // old files are removed in the background
		var err error
		if list, err = filepath.Glob(dir + "/*"); err != nil || time.Now().After(deadline) {
			t.Fatalf("files %v, %v", list, err)
		}
	}
	last := ""
	for _, path := range list {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if info, _ := f.Stat(); info.Size() > 1<<20 {
			t.Errorf("%s holds %d bytes", path, info.Size())
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var notice sink.Notice
			if err := json.Unmarshal(lines.Bytes(), &notice); err != nil || notice.Partner != partner {
				t.Fatalf("%q: %v", lines.Text(), err)
			}
			last = max(last, notice.ID)
		}
	}
	if last != fmt.Sprintf("%06d", count-1) {
		t.Errorf("the last line is %s", last)
	}
}

// Guards against confirming notices that were not written, and against an Add that blocks, while the path
// cannot be written. Once it can, all queued notices are written.
func TestUnwritable(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ends") // a file in place of the folder
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := New(Options{Path: filepath.Join(dir, "ends.jsonl"), MaxMB: 1, MaxBackups: 2, MaxQueued: 100,
		Log: slog.New(slog.DiscardHandler)})
	confirmed := make(chan []string, 256)
	go s.Run(t.Context(), func(ids []string) { confirmed <- ids })
	for i := range 10 {
		s.Add(&message.Message{}, message.End{ID: fmt.Sprint(i)})
	}
	if len(confirmed) != 0 {
		t.Fatal("confirmed what was not written")
	}
	for i := 10; i < 500; i++ { // far above the limit plus one write: the oldest are dropped and confirmed
		s.Add(&message.Message{}, message.End{ID: fmt.Sprint(i)})
	}
	for dropped := 0; dropped < 300; {
		select {
		case ids := <-confirmed:
			dropped += len(ids)
		case <-time.After(20 * time.Second):
			t.Fatalf("%d dropped notices are confirmed, want 300", dropped)
		}
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < 10; {
		select {
		case ids := <-confirmed:
			n += len(ids)
		case <-time.After(20 * time.Second):
			t.Fatalf("%d confirmed", n)
		}
	}
}
