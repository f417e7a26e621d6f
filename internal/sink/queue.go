// Package sink holds what end sinks share.
package sink

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"cometrack/internal/message"
)

// Notice is an end as the outside is told of it.
type Notice struct {
	ID           string    `json:"id"`
	State        string    `json:"state"`
	Partner      string    `json:"partner"`
	Class        string    `json:"class"`
	Tenant       string    `json:"tenant,omitempty"`
	Attempts     int       `json:"tries"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"` // returned: when to come again
	EndedAt      time.Time `json:"over"`
}

// NewNotice puts an end and its message together.
func NewNotice(m *message.Message, e message.End) Notice {
	return Notice{ID: e.ID, State: e.State, Partner: m.Partner, Class: m.Class, Tenant: m.Tenant, Attempts: e.Tries,
		RetryAfterMS: e.AfterMS, EndedAt: time.UnixMicro(e.At).UTC()}
}

// JSON is the line as text.
func (l Notice) JSON() []byte {
	b, err := json.Marshal(l)
	if err != nil { // there is nothing in it that can't be written
		panic(err)
	}
	return b
}

// Queue holds ends that wait to be told, up to a bound. Above it the oldest is
// given up: it counts as told, and the log says so.
type Queue struct {
	most       int
	log        *slog.Logger
	Ready      chan struct{} // gets a value when there is something new
	gaveUp     chan struct{} // gets a value when something was given up
	mu         sync.Mutex
	lines      []Notice
	droppedIDs []string
	dropped    int
}

// NewQueue makes a queue for so many ends.
func NewQueue(most int, log *slog.Logger) *Queue {
	return &Queue{most: max(most, 1), log: log, Ready: make(chan struct{}, 1), gaveUp: make(chan struct{}, 1)}
}

// Add queues an end; it never waits.
func (q *Queue) Add(l Notice) {
	q.mu.Lock()
	q.lines = append(q.lines, l)
	if len(q.lines) > q.most {
		q.droppedIDs = append(q.droppedIDs, q.lines[0].ID)
		q.lines = q.lines[1:]
		if q.dropped++; q.dropped&(q.dropped-1) == 0 { // at powers of two: a flood must not fill the log
			q.log.Error("end sink: too many ends wait, the oldest is given up", "given_up", q.dropped)
		}
	}
	full := len(q.droppedIDs) > 0
	q.mu.Unlock()
	signal(q.Ready)
	if full {
		signal(q.gaveUp)
	}
}

func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ConfirmDropped confirms what is given up until ctx is over, also while whoever
// takes the ends is stuck: else they would stay owed, and fill the journal.
func (q *Queue) ConfirmDropped(ctx context.Context, confirm func(ids []string)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.gaveUp:
		}
		q.mu.Lock()
		ids := q.droppedIDs
		q.droppedIDs = nil
		q.mu.Unlock()
		if len(ids) > 0 {
			confirm(ids)
		}
	}
}

// Take returns up to n ends, the oldest first.
func (q *Queue) Take(n int) (lines []Notice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.lines))
	lines = append(lines, q.lines[:n]...)
	if q.lines = q.lines[n:]; len(q.lines) == 0 {
		q.lines = nil
	}
	return lines
}

// Dropped is the number of ends given up.
func (q *Queue) Dropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
