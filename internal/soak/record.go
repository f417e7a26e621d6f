package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cometrack/internal/standin/faultbuild"
)

// Effect tells what a repeat of a message does.
type Effect string

// The effects, by the names of the classes that have them.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Call is one call that came to an endpoint.
type Call struct {
	At         time.Time // its last byte
	Endpoint   string
	Ran        bool
	Status     int           // that was written whole; 0 for none
	AnsweredAt time.Time     // when the answer was written; zero if it was not
	ClosedAt   time.Time     // when the connection ended, if that was before an answer
	InsideWait time.Duration // for which it came inside a wait that its sender was told
}

// over is when the call was over for its endpoint; zero if it never was.
func (c *Call) over() time.Time {
	if c.AnsweredAt.IsZero() {
		return c.ClosedAt
	}
	return c.AnsweredAt
}

// Notice is an end that the platform heard of.
type Notice struct {
	At    time.Time
	State string
}

// Message is the history of one message.
type Message struct {
	ID          string
	Sender      int
	Effect      Effect
	ClientKind  string    // what kind of client handed it in
	FirstOnConn bool      // the first request on its connection
	WrittenAt   time.Time // its last byte
	Deadline    time.Time
	Answer      string // empty for none
	AnsweredAt  time.Time
	ClosedAt    time.Time // when the sender was seen to have closed the connection without an answer
	ClientLeft  bool      // the client went away itself: what becomes of the message counts for nothing
	Calls       []*Call
	Notices     []Notice

	line   string        // the answer as it came
	hold   time.Duration // for which it may be delivered
	port   int           // of its connection, at the client
	dialed time.Time     // when that was made
	end    int64         // where its request ends, in bytes from the start of the connection
}

// Accepted says that its client heard that it is taken on.
func (m *Message) Accepted() bool { return strings.HasPrefix(m.Answer, "+") }

// Delivered says that an endpoint's 200 was written whole.
func (m *Message) Delivered() bool {
	return slices.ContainsFunc(m.Calls, func(c *Call) bool { return c.Status == 200 })
}

// History tells what happened to the message, by the time since start.
func (m *Message) History(start time.Time) string {
	since := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(start).Seconds()) }
	var b strings.Builder
	fmt.Fprintf(&b, "%s at sender %d, %s, %s client, first on its connection %v: written %s, time up %s, answer %q", m.ID, m.Sender, m.Effect, m.ClientKind, m.FirstOnConn,
		since(m.WrittenAt), since(m.Deadline), m.Answer)
	if !m.AnsweredAt.IsZero() {
		fmt.Fprintf(&b, " at %s", since(m.AnsweredAt))
	}
	if !m.ClosedAt.IsZero() {
		fmt.Fprintf(&b, ", closed at %s", since(m.ClosedAt))
	}
	if m.ClientLeft {
		b.WriteString(", client left")
	}
	for _, c := range m.Calls {
		fmt.Fprintf(&b, "; call at %s to %s: ran %v, status %d", since(c.At), c.Endpoint, c.Ran, c.Status)
		if !c.ClosedAt.IsZero() {
			fmt.Fprintf(&b, ", closed at %s", since(c.ClosedAt))
		}
	}
	for _, n := range m.Notices {
		fmt.Fprintf(&b, "; notice %s at %s", n.State, since(n.At))
	}
	return b.String()
}

// Interval is a stretch of time in which something happened to a process.
type Interval struct{ From, To time.Time }

// Records are what was seen from outside. They may be written at once by many.
type Records struct {
	mu       sync.Mutex
	messages map[string]*Message
	kills    map[int][]time.Time              // SIGKILL, by sender
	outages  map[int][]Interval               // from the first signal of a restart until the sender is ready again
	stalls   map[int][]Interval               // the process stood still
	waits    map[route]Interval               // the last wait that was told
	traces   map[int][]*faultbuild.Connection // what each sender did with its clients' connections
	lists    *lists                           // what discovery had, and told whom
	unowed   []string                         // calls and notices for messages that nobody handed in
	other    []string                         // faults that concern no message
}

// route is from a sender to a destination.
type route struct{ sender, dest int }

func newRecords() *Records {
	return &Records{lists: newLists(), messages: map[string]*Message{}, waits: map[route]Interval{}, kills: map[int][]time.Time{}, outages: map[int][]Interval{}, traces: map[int][]*faultbuild.Connection{}, stalls: map[int][]Interval{}}
}

func (r *Records) add(m *Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages[m.ID] = m
}

// with changes a message under the lock.
func (r *Records) with(m *Message, change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// call notes a call that came to an endpoint of a destination.
func (r *Records) call(id string, dest int, c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.messages[id]
	if m == nil {
		r.unowed = append(r.unowed, "call for "+id)
		return
	}
	if w := r.waits[route{m.Sender, dest}]; c.At.After(w.From.Add(waitGrace)) && c.At.Before(w.To) {
		c.InsideWait = c.At.Sub(w.From.Add(waitGrace))
	}
	m.Calls = append(m.Calls, c)
}

func (r *Records) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Records) notice(id string, n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.messages[id]; m != nil {
		m.Notices = append(m.Notices, n)
	} else {
		r.unowed = append(r.unowed, "notice for "+id)
	}
}

// told notes that a sender was told to wait. A restart ends it.
func (r *Records) told(id string, dest int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.messages[id]; m != nil {
		now := time.Now()
		r.waits[route{m.Sender, dest}] = Interval{now, now.Add(wait)}
	}
}

func (r *Records) restarts(sender int) {
	r.change(func() {
		for x := range r.waits {
			if x.sender == sender {
				delete(r.waits, x)
			}
		}
	})
}

func (r *Records) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.other = append(r.other, fmt.Sprintf(format, args...))
}

func (r *Records) killed(sender int, at time.Time) {
	r.change(func() { r.kills[sender] = append(r.kills[sender], at) })
}

func (r *Records) outage(sender int, from, to time.Time) {
	r.change(func() { r.outages[sender] = append(r.outages[sender], Interval{from, to}) })
}

// traced notes what a sender did with its clients' connections.
func (r *Records) traced(sender int, list []*faultbuild.Connection) {
	r.change(func() { r.traces[sender] = list })
}

// readAt is when the sender had read the whole request of a message; zero if it never
// had, or if its connection was broken.
func (r *Records) readAt(m *Message) time.Time {
	for _, c := range r.traces[m.Sender] {
		if c.Port == m.port && c.FirstSeen.After(m.dialed) && c.FirstSeen.Before(m.ClosedAt) {
			if c.Broken {
				return time.Time{}
			}
			return c.ReadTime(m.end)
		}
	}
	return time.Time{}
}

func (r *Records) stalled(sender int, from, to time.Time) {
	r.change(func() { r.stalls[sender] = append(r.stalls[sender], Interval{from, to}) })
}
