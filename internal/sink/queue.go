// Package sink holds the notice format and the queue that the end sinks share.
package sink

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"cometrack/internal/message"
)

// Notice tells the client's side how a message ended. It is written as JSON.
type Notice struct {
	ID           string    `json:"id"`
	State        string    `json:"state"`
	Partner      string    `json:"partner"`
	Class        string    `json:"class"`
	Tenant       string    `json:"tenant,omitempty"`
	Attempts     int       `json:"tries"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"` // returned messages: when to submit again
	EndedAt      time.Time `json:"over"`
}

// NewNotice makes the notice of a message and its end.
func NewNotice(m *message.Message, e message.End) Notice {
	return Notice{ID: e.ID, State: e.State, Partner: m.Partner, Class: m.Class, Tenant: m.Tenant, Attempts: e.Attempts,
		RetryAfterMS: e.RetryAfterMS, EndedAt: time.UnixMicro(e.At).UTC()}
}

// JSON returns the notice as JSON.
func (n Notice) JSON() []byte {
	text, err := json.Marshal(n)
	if err != nil { // no field can fail to encode
		panic(err)
	}
	return text
}

// Queue holds notices to be sent, up to a limit. Beyond it the oldest is dropped, which counts as
// confirmed, and the drop is logged.
type Queue struct {
	limit      int
	log        *slog.Logger
	Ready      chan struct{} // receives a value when a notice was added
	hasDropped chan struct{} // receives a value when a notice was dropped
	mu         sync.Mutex
	notices    []Notice
	droppedIDs []string // dropped and not yet confirmed
	dropped    int      // since the start
}

// NewQueue makes a queue with a limit of at least 1.
func NewQueue(limit int, log *slog.Logger) *Queue {
	return &Queue{limit: max(limit, 1), log: log, Ready: make(chan struct{}, 1), hasDropped: make(chan struct{}, 1)}
}

// Add queues a notice. It never blocks.
func (q *Queue) Add(notice Notice) {
	q.mu.Lock()
	q.notices = append(q.notices, notice)
	if len(q.notices) > q.limit {
		q.droppedIDs = append(q.droppedIDs, q.notices[0].ID)
		q.notices = q.notices[1:]
		if q.dropped++; q.dropped&(q.dropped-1) == 0 { // powers of two only: a flood must not fill the log
			q.log.Error("end sink: queue full, oldest end dropped", "given_up", q.dropped)
		}
	}
	overflowed := len(q.droppedIDs) > 0
	q.mu.Unlock()
	signal(q.Ready)
	if overflowed {
		signal(q.hasDropped)
	}
}

// signal sends a value unless one is pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ConfirmDropped confirms dropped notices until ctx is done, even while the receiver of the notices is
// stuck. Otherwise they would stay unconfirmed and fill the journal.
func (q *Queue) ConfirmDropped(ctx context.Context, confirm func(ids []string)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.hasDropped:
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

// Take removes and returns up to n notices, oldest first.
func (q *Queue) Take(n int) (notices []Notice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.notices))
	notices = append(notices, q.notices[:n]...)
	if q.notices = q.notices[n:]; len(q.notices) == 0 {
		q.notices = nil
	}
	return notices
}

// Dropped returns the number of dropped notices.
func (q *Queue) Dropped() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
