package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cometrack/internal/standin/faultbuild"
)

// Effect says what a repeated delivery of a message does, and how often the message may run: Safe any number of
// times, Keyed again only within repeatWindow of the first time, Unsafe once. It is that of the message's class
// in the settings that bind when the message is written.
type Effect string

// The effects, named as the classes that have them in the settings.
const (
	Safe   Effect = "safe"   // no harm: it may run several times
	Keyed  Effect = "keyed"  // nothing within repeatWindow, in which endpoints recognize it by its key
	Unsafe Effect = "unsafe" // harm: it must not run twice
)

// Call is one call that an endpoint received.
type Call struct {
	At         time.Time     // when its last byte was received
	Endpoint   string        // name of the endpoint
	Ran        bool          // it took effect; false if it was rejected or reset before that
	Status     int           // status of the response that was written completely; 0 for none
	AnsweredAt time.Time     // when the answer was written; zero if it was not
	ClosedAt   time.Time     // when the connection ended, if that was before an answer
	dest       int           // number of the endpoint's destination
	InsideWait time.Duration // how long after waitGrace of a requested wait it came; 0 if outside
}

// endedAt returns when the call ended for its endpoint; zero if it never did.
func (c *Call) endedAt() time.Time {
	if c.AnsweredAt.IsZero() {
		return c.ClosedAt
	}
	return c.AnsweredAt
}

// Notice is a notice of the end of a message that the platform received.
type Notice struct {
	At    time.Time // when its request was received
	State string    // "returned" or "failed"
	// AfterMS is after how many milliseconds the client may come again; 0 if the notice does not say. The scheduler always
	// does.
	AfterMS int64
}

// Message is the history of one message, as its client, the endpoints and the platform observed it.
type Message struct {
	ID          string
	Sender      int       // number of the sender
	Class       Effect    // named as its effect in the settings of the first start
	Effect      Effect    // set by the judge
	ClientKind  string    // kind of the client that submitted it
	FirstOnConn bool      // it was the first request on its connection
	WrittenAt   time.Time // when its client began to write the last byte of the request
	Deadline    time.Time // WrittenAt plus its lifetime
	Answer      string    // response to the client without its line end; empty for none
	AnsweredAt  time.Time // when the client had read the response; zero if it has none
	ClosedAt    time.Time // when the client saw its connection end without a response; else zero
	ClientLeft  bool      // the client gave up or wrote in part: no rule on the end applies
	Calls       []*Call   // in the order in which the endpoints received them
	Notices     []Notice  // in the order in which the platform received them

	rawAnswer string        // the response with its line end; empty for none
	lifetime  time.Duration // from submission to the deadline
	dest      int           // number of its destination
	leftAt    time.Time     // when a client that leaves had closed its connection; zero for other clients
	port      int           // local port of the client's connection
	dialed    time.Time     // when the client began to connect
	// Offsets, in bytes from the start of the connection, of the last write of its request.
	requestStart, requestEnd int64
	resentAt                 time.Time // when its client sent the request once more, on a new connection; zero for never
	brokenAt                 time.Time // when the network had reset its connection, with all responses read; zero for never
}

// Accepted reports whether the client got the response that the message is accepted.
func (m *Message) Accepted() bool { return strings.HasPrefix(m.Answer, "+") }

// returnedBefore reports whether a call did not run and was made for the first of two requests with the message: that
// one was accepted and the message returned, and only the second one was rejected.
func (m *Message) returnedBefore(c *Call) bool {
	return !c.Ran && c.At.Before(m.resentAt) && len(m.Notices) > 0 && m.Notices[0].State == "returned"
}

// Delivered reports whether an endpoint wrote a complete response with status 200 to a call of the message.
func (m *Message) Delivered() bool {
	return slices.ContainsFunc(m.Calls, func(c *Call) bool { return c.Status == 200 })
}

// History describes the events of the message on one line, with times in seconds since start.
func (m *Message) History(start time.Time) string {
	since := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(start).Seconds()) }
	var b strings.Builder
	fmt.Fprintf(&b, "%s at sender %d, class %s, %s, %s client, first on its connection %v: written %s, deadline %s, answer %q",
		m.ID, m.Sender, m.Class, m.Effect, m.ClientKind, m.FirstOnConn,
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

// Interval is a period of time. A zero To stands for a period that has not ended.
type Interval struct{ From, To time.Time }

// Records are the observations of a run. They may be written concurrently.
type Records struct {
	mu              sync.Mutex                       // guards the other fields and all that they point to
	messages        map[string]*Message              // by ID
	kills           map[int][]time.Time              // times of SIGKILL and of the exits after it, by sender
	outages         map[int][]Interval               // by sender: from a restart's signal until it is ready
	stalls          map[int][]Interval               // by sender: while its process was held
	terms           map[int][]termsChange            // by sender, in the order of the changes
	waits           map[route]Interval               // the last requested wait of each route
	traces          map[int][]*faultbuild.Connection // traces of client connections, by sender
	lists           *listRecords                     // published lists and which sender received them
	usages          []usage                          // of the processes
	unknownMessages []string                         // calls and notices for messages that were not submitted
	faults          []string                         // violations that concern no message
}

// route is a sender and a destination, by their numbers: a requested wait holds for both together.
type route struct{ sender, dest int }

func newRecords() *Records {
	return &Records{lists: newLists(), messages: map[string]*Message{}, waits: map[route]Interval{},
		kills: map[int][]time.Time{}, outages: map[int][]Interval{},
		terms: map[int][]termsChange{}, traces: map[int][]*faultbuild.Connection{}, stalls: map[int][]Interval{}}
}

// addMessage records a message, which has to be done before its request is written.
func (r *Records) addMessage(m *Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages[m.ID] = m
}

// update calls change, which may change the message m, with the lock held.
func (r *Records) update(m *Message, change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// addCall records a call for the message with an id that an endpoint of a destination received, and whether
// it came inside a requested wait of the message's destination. A call for a message that was not submitted is a violation.
func (r *Records) addCall(id string, dest int, c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.messages[id]
	if m == nil {
		r.unknownMessages = append(r.unknownMessages, "call for "+id)
		return
	}
	if w := r.waits[route{m.Sender, dest}]; m.dest == dest && c.At.After(w.From.Add(waitGrace)) && c.At.Before(w.To) {
		c.InsideWait = c.At.Sub(w.From.Add(waitGrace))
	}
	m.Calls = append(m.Calls, c)
}

// withLock calls f with the lock held, for access to fields and to messages that are recorded.
func (r *Records) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// addNotice records a notice for the message with an id. One for a message that was not submitted is a
// violation.
func (r *Records) addNotice(id string, n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.messages[id]; m != nil {
		m.Notices = append(m.Notices, n)
	} else {
		r.unknownMessages = append(r.unknownMessages, "notice for "+id)
	}
}

// waitRequested records that an endpoint has just requested the sender of the message with an id to wait
// before further calls to the destination. It replaces an earlier wait. A restart ends the wait. The wait says nothing of
// the destination if the sender means the endpoint of another one that was at the address before.
func (r *Records) waitRequested(id string, dest int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.messages[id]; m != nil && m.dest == dest {
		now := time.Now()
		r.waits[route{m.Sender, dest}] = Interval{now, now.Add(wait)}
	}
}

// clearWaits forgets a sender's requested waits at its restart, since its next process does not know them.
func (r *Records) clearWaits(sender int) {
	r.withLock(func() {
		for x := range r.waits {
			if x.sender == sender {
				delete(r.waits, x)
			}
		}
	})
}

// addFault records a violation that concerns no message.
func (r *Records) addFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// addKill records that a process of a sender got SIGKILL, or has exited after it, at a time.
func (r *Records) addKill(sender int, at time.Time) {
	r.withLock(func() { r.kills[sender] = append(r.kills[sender], at) })
}

// addOutage records a period in which a sender was restarted. The periods of a sender are added in
// chronological order.
func (r *Records) addOutage(sender int, from, to time.Time) {
	r.withLock(func() { r.outages[sender] = append(r.outages[sender], Interval{from, to}) })
}

// setTrace records the trace of a sender's client connections, read after the sender has stopped.
func (r *Records) setTrace(sender int, list []*faultbuild.Connection) {
	r.withLock(func() { r.traces[sender] = list })
}

// requestReadAt returns when the sender had read the complete request of a message whose connection the
// sender ended; zero if it never had, or if the harness broke the connection. The caller holds the lock.
func (r *Records) requestReadAt(m *Message) time.Time { return r.readTime(m, m.requestEnd) }

// readTime returns when the sender had read so many bytes of the connection of a message; zero if it never had before it
// ended the connection, or if the harness broke it.
func (r *Records) readTime(m *Message, bytes int64) time.Time {
	for _, c := range r.traces[m.Sender] {
		if c.Port == m.port && c.FirstSeen.After(m.dialed) && c.FirstSeen.Before(m.ClosedAt) {
			if c.Broken {
				return time.Time{}
			}
			return c.ReadTime(bytes)
		}
	}
	return time.Time{}
}

// requestBegunAt returns when the sender had read the first byte of the request of a message, as requestReadAt does the
// last one.
func (r *Records) requestBegunAt(m *Message) time.Time { return r.readTime(m, m.requestStart+1) }

// addStall records a period in which a process of a sender may have been held.
func (r *Records) addStall(sender int, from, to time.Time) {
	r.withLock(func() { r.stalls[sender] = append(r.stalls[sender], Interval{from, to}) })
}
