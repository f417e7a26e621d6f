package fan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cometrack/internal/message"
)

// manualSink confirms the IDs that a test sends to it.
type manualSink struct {
	mu      sync.Mutex
	got     []string
	confirm chan []string
}

func (s *manualSink) Add(_ *message.Message, e message.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, e.ID)
}

func (s *manualSink) Run(ctx context.Context, confirm func([]string)) {
	for {
		select {
		case ids := <-s.confirm:
			confirm(ids)
		case <-ctx.Done():
			return
		}
	}
}

// await returns the next confirmed IDs as text.
func await(t *testing.T, ch <-chan []string) string {
	t.Helper()
	select {
	case ids := <-ch:
		return fmt.Sprint(ids)
	case <-time.After(20 * time.Second):
		t.Fatal("timeout waiting for a confirmation")
	}
	return ""
}

// Guards against confirming an end that one sink has not confirmed, which would lose it.
func TestConfirmedByAll(t *testing.T) {
	a, b := &manualSink{confirm: make(chan []string)}, &manualSink{confirm: make(chan []string)}
	f := New(a, b)
	var seen []string
	f.Observe(func(_ *message.Message, e message.End) { seen = append(seen, e.ID) })
	confirmed := make(chan []string, 8)
	go f.Run(t.Context(), func(ids []string) { confirmed <- ids })
	m := &message.Message{}
	f.Add(m, message.End{ID: "1"})
	f.Add(m, message.End{ID: "2"})
	a.confirm <- []string{"1", "2", "unknown"}
	b.confirm <- []string{"2"}
	if got := await(t, confirmed); got != "[2]" {
		t.Errorf("confirmed %s", got)
	}
	b.confirm <- []string{"1"}
	if got := await(t, confirmed); got != "[1]" {
		t.Errorf("confirmed %s", got)
	}
	if fmt.Sprint(a.got, b.got, seen) != "[1 2] [1 2] [1 2]" {
		t.Errorf("sinks got %v %v, observer got %v", a.got, b.got, seen)
	}
}

// Without sinks an end is confirmed at once.
func TestNoSinks(t *testing.T) {
	f := New()
	confirmed := make(chan []string, 8)
	go f.Run(t.Context(), func(ids []string) { confirmed <- ids })
	f.Add(&message.Message{}, message.End{ID: "1"})
	if got := await(t, confirmed); got != "[1]" {
		t.Errorf("confirmed %s", got)
	}
}
