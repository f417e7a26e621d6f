package fan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cometrack/internal/message"
)

// slow is a sink that confirms what a test says.
type slow struct {
	mu      sync.Mutex
	got     []string
	confirm chan []string
}

func (s *slow) Add(_ *message.Message, e message.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, e.ID)
}

func (s *slow) Run(ctx context.Context, confirm func([]string)) {
	for {
		select {
		case ids := <-s.confirm:
			confirm(ids)
		case <-ctx.Done():
			return
		}
	}
}

func await(t *testing.T, ch <-chan []string) string {
	t.Helper()
	select {
	case ids := <-ch:
		return fmt.Sprint(ids)
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is confirmed")
	}
	return ""
}

// An end is confirmed once every sink has: one that is down keeps it owed.
func TestConfirmedByAll(t *testing.T) {
	a, b := &slow{confirm: make(chan []string)}, &slow{confirm: make(chan []string)}
	f := New(a, b)
	var seen []string
	f.Observe(func(_ *message.Message, e message.End) { seen = append(seen, e.ID) })
	heard := make(chan []string, 8)
	go f.Run(t.Context(), func(ids []string) { heard <- ids })
	m := &message.Message{}
	f.Add(m, message.End{ID: "1"})
	f.Add(m, message.End{ID: "2"})
	a.confirm <- []string{"1", "2", "unknown"}
	b.confirm <- []string{"2"}
	if got := await(t, heard); got != "[2]" {
		t.Errorf("confirmed %s", got)
	}
	b.confirm <- []string{"1"}
	if got := await(t, heard); got != "[1]" {
		t.Errorf("confirmed %s", got)
	}
	if fmt.Sprint(a.got, b.got, seen) != "[1 2] [1 2] [1 2]" {
		t.Errorf("told %v %v %v", a.got, b.got, seen)
	}
}

// With no sinks nobody has to hear.
func TestNoSinks(t *testing.T) {
	f := New()
	heard := make(chan []string, 8)
	go f.Run(t.Context(), func(ids []string) { heard <- ids })
	f.Add(&message.Message{}, message.End{ID: "1"})
	if got := await(t, heard); got != "[1]" {
		t.Errorf("confirmed %s", got)
	}
}
