// Package sink holds what end sinks share.
package sink

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"cometrack/internal/message"
)

// Line is an end as the outside is told of it.
type Line struct {
	ID      string    `json:"id"`
	State   string    `json:"state"`
	Partner string    `json:"partner"`
	Class   string    `json:"class"`
	Tenant  string    `json:"tenant,omitempty"`
	Tries   int       `json:"tries"`
	AfterMS int64     `json:"retry_after_ms,omitempty"` // returned: when to come again
	Over    time.Time `json:"over"`
}

// LineOf puts an end and its message together.
func LineOf(m *message.Message, e message.End) Line {
	return Line{ID: e.ID, State: e.State, Partner: m.Partner, Class: m.Class, Tenant: m.Tenant, Tries: e.Tries,
		AfterMS: e.AfterMS, Over: time.UnixMicro(e.At).UTC()}
}

// JSON is the line as text.
func (l Line) JSON() []byte {
	b, err := json.Marshal(l)
	if err != nil { // there is nothing in it that can't be written
		panic(err)
	}
	return b
}

// Queue holds ends that wait to be told, up to a bound. Above it the oldest is
// given up: it counts as told, and the log says so.
type Queue struct {
	most    int
	log     *slog.Logger
	Wake    chan struct{} // gets a value when there is something new
	mu      sync.Mutex
	lines   []Line
	dropped []string
	lost    int
}

// NewQueue makes a queue for so many ends.
func NewQueue(most int, log *slog.Logger) *Queue {
	return &Queue{most: max(most, 1), log: log, Wake: make(chan struct{}, 1)}
}

// Add queues an end; it never waits.
func (q *Queue) Add(l Line) {
	q.mu.Lock()
	q.lines = append(q.lines, l)
	if len(q.lines) > q.most {
		q.dropped = append(q.dropped, q.lines[0].ID)
		q.lines = q.lines[1:]
		if q.lost++; q.lost&(q.lost-1) == 0 { // at powers of two: a flood must not fill the log
			q.log.Error("end sink: too many ends wait, the oldest is given up", "given_up", q.lost)
		}
	}
	q.mu.Unlock()
	q.Signal()
}

// Signal wakes whoever waits.
func (q *Queue) Signal() {
	select {
	case q.Wake <- struct{}{}:
	default:
	}
}

// Take returns up to n ends, the oldest first, and the ids of those given up since
// the last call.
func (q *Queue) Take(n int) (lines []Line, dropped []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.lines))
	lines = append(lines, q.lines[:n]...)
	if q.lines = q.lines[n:]; len(q.lines) == 0 {
		q.lines = nil
	}
	dropped, q.dropped = q.dropped, nil
	return lines, dropped
}

// Lost is the number of ends given up.
func (q *Queue) Lost() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}
