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

// Ends are written whole, in order, and confirmed after that; files are rotated and the oldest go.
func TestRotated(t *testing.T) {
	dir := t.TempDir()
	s := New(Options{Path: filepath.Join(dir, "ends.jsonl"), MaxMB: 1, MaxBackups: 2, MaxQueued: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	confirmed := make(chan []string, 1024)
	go s.Run(t.Context(), func(ids []string) { confirmed <- ids })
	const many = 20_000
	partner := strings.Repeat("p", 120)
	for i := range many {
		s.Add(&message.Message{Partner: partner, Class: "c"}, message.End{ID: fmt.Sprintf("%06d", i), State: message.Delivered, Tries: 1})
	}
	for n := 0; n < many; {
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
	for stop := time.Now().Add(20 * time.Second); len(list) != 3; { // old files are dropped in the background
		var err error
		if list, err = filepath.Glob(dir + "/*"); err != nil || time.Now().After(stop) {
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
		for sc := bufio.NewScanner(f); sc.Scan(); {
			var l sink.Notice
			if err := json.Unmarshal(sc.Bytes(), &l); err != nil || l.Partner != partner {
				t.Fatalf("%q: %v", sc.Text(), err)
			}
			last = max(last, l.ID)
		}
	}
	if last != fmt.Sprintf("%06d", many-1) {
		t.Errorf("the last line is %s", last)
	}
}

// A path that can't be written confirms nothing, and Add goes on; once it can, all is written.
func TestUnwritable(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "ends") // a file stands where the folder must be
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s := New(Options{Path: filepath.Join(dir, "ends.jsonl"), MaxMB: 1, MaxBackups: 2, MaxQueued: 100, Log: slog.New(slog.DiscardHandler)})
	confirmed := make(chan []string, 256)
	go s.Run(t.Context(), func(ids []string) { confirmed <- ids })
	for i := range 10 {
		s.Add(&message.Message{}, message.End{ID: fmt.Sprint(i)})
	}
	if len(confirmed) != 0 {
		t.Fatal("confirmed what was not written")
	}
	for i := 10; i < 500; i++ { // far above the bound, and what one write takes: the oldest are given up, and are owed no more
		s.Add(&message.Message{}, message.End{ID: fmt.Sprint(i)})
	}
	for given := 0; given < 300; {
		select {
		case ids := <-confirmed:
			given += len(ids)
		case <-time.After(20 * time.Second):
			t.Fatalf("%d of those given up are confirmed", given)
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
