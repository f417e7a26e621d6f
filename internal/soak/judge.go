package soak

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Limits of the protocol, as the operators' pages give them.
const (
	limitSlack   = 50 * time.Millisecond   // that each time limit is longer on sockets
	lostAfter    = 500 * time.Millisecond  // behind its time, a message without an end is lost
	noticeWithin = 300 * time.Millisecond  // behind its time, an end is due
	readyGrace   = 1500 * time.Millisecond // from ready until notices are overdue again
	waitGrace    = 100 * time.Millisecond  // from a told wait until calls break it
	crossingAge  = 250 * time.Millisecond  // a request that is older than this when its connection ends was there to be read
	handled      = 20 * time.Millisecond   // an endpoint may note the end of a connection so late
	answerWithin = 400 * time.Millisecond  // clients wait for an answer
)

// answerForm is how an answer is written, to the byte.
var answerForm = regexp.MustCompile(`^(\+OK|-BUSY|-BUSY [1-9][0-9]*|-ERR [ -~]+)\r\n$`)

// Violation is a broken invariant.
type Violation struct {
	Rule    string
	Message string // its id; empty if it concerns none
	History string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.History) }

// Verdict is what the judge found.
type Verdict struct {
	Messages, Accepted, Delivered, Returned, Failed, Refused, Errors, Unanswered, Late int
	Violations                                                                         []Violation
}

// judge goes over the records once the run has ended. noise is how long this machine
// let a goroutine of the harness wait.
func (r *Records) judge(start time.Time, window, noise time.Duration) (out Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add := func(m *Message, format string, args ...any) {
		out.Violations = append(out.Violations, Violation{fmt.Sprintf(format, args...), m.ID, m.History(start)})
	}
	list := make([]*Message, 0, len(r.messages))
	for _, m := range r.messages {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *Message) int { return cmp.Or(a.WrittenAt.Compare(b.WrittenAt), cmp.Compare(a.ID, b.ID)) })
	for _, m := range list {
		r.count(&out, m)
		r.judgeAnswer(m, noise, add)
		if m.ClientLeft || m.Answer == "" {
			continue // what becomes of it counts for nothing
		}
		r.judgeEnd(&out, m, noise, add)
		judgeCalls(m, r.stalls[m.Sender], window, noise, add)
		r.lists.judgeDrain(m, noise, add)
	}
	for _, s := range r.unowed {
		out.Violations = append(out.Violations, Violation{Rule: "of no message", History: s})
	}
	for _, s := range r.other {
		out.Violations = append(out.Violations, Violation{Rule: "process", History: s})
	}
	return out
}

func (r *Records) count(out *Verdict, m *Message) {
	out.Messages++
	switch {
	case m.Answer == "":
		out.Unanswered++
	case m.Accepted():
		out.Accepted++
	case len(m.Answer) >= 5 && m.Answer[:5] == "-BUSY":
		out.Refused++
	default:
		out.Errors++
	}
	if m.Delivered() {
		out.Delivered++
	}
	for i, n := range m.Notices {
		if i == 0 && n.State == "returned" {
			out.Returned++
		} else if i == 0 {
			out.Failed++
		}
	}
}

// judgeAnswer: a request that the sender has read, or had time to read, gets its answer
// before the connection ends, unless the process was killed, and in a form of the protocol.
func (r *Records) judgeAnswer(m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	if m.line != "" && !answerForm.MatchString(m.line) {
		add(m, "answer %q has none of the forms of the protocol", m.line)
	}
	if m.Answer != "" || m.ClosedAt.IsZero() {
		return
	}
	if at := r.readAt(m); !at.IsZero() && !r.diedBetween(m.Sender, at, m.ClosedAt) {
		add(m, "closed with no answer %v after the request was read", m.ClosedAt.Sub(at).Round(time.Millisecond))
		return
	}
	age := m.ClosedAt.Sub(m.WrittenAt) - within(r.stalls[m.Sender], m.WrittenAt, m.ClosedAt)
	if age > crossingAge+noise && !r.diedBetween(m.Sender, m.WrittenAt, m.ClosedAt) {
		add(m, "closed with no answer %v after the request", age.Round(time.Millisecond))
	}
}

func (r *Records) diedBetween(sender int, from, to time.Time) bool {
	return slices.ContainsFunc(r.kills[sender], func(t time.Time) bool { return t.After(from.Add(-crossingAge)) && t.Before(to.Add(crossingAge)) })
}

// within is how much of the time from one moment to another lies in spans.
func within(spans []Interval, from, to time.Time) (sum time.Duration) {
	for _, s := range spans {
		a, b := s.From, s.To
		if a.Before(from) {
			a = from
		}
		if b.After(to) {
			b = to
		}
		if b.After(a) {
			sum += b.Sub(a)
		}
	}
	return sum
}

// judgeEnd: what was taken on is delivered or ended in time.
func (r *Records) judgeEnd(out *Verdict, m *Message, noise time.Duration, add func(*Message, string, ...any)) {
	if !m.Accepted() {
		return
	}
	var end time.Time
	for _, c := range m.Calls {
		if c.Status == 200 && (end.IsZero() || c.AnsweredAt.Before(end)) {
			end = c.AnsweredAt
		}
	}
	for _, n := range m.Notices {
		if end.IsZero() || n.At.Before(end) {
			end = n.At
		}
	}
	due := r.due(m)
	switch {
	case end.IsZero():
		add(m, "lost: no end")
	case end.After(due.Add(lostAfter + limitSlack + noise + within(r.stalls[m.Sender], m.Deadline, end))):
		add(m, "lost: its end came %v late", end.Sub(due).Round(time.Millisecond))
	case end.After(due.Add(noticeWithin + limitSlack)):
		out.Late++
	}
}

// due is when the end of a message has to be told: at the end of its time, unless the
// sender is being restarted when it would be overdue.
func (r *Records) due(m *Message) time.Time {
	due := m.Deadline
	for _, o := range r.outages[m.Sender] { // in order of time
		if !due.Add(noticeWithin).Before(o.From) && due.Before(o.To.Add(readyGrace)) {
			due = o.To.Add(readyGrace)
		}
	}
	return due
}

// judgeCalls: nothing goes out after the end, nothing takes effect twice, and one
// attempt is out at a time.
func judgeCalls(m *Message, stalls []Interval, window, noise time.Duration, add func(*Message, string, ...any)) {
	var ran []time.Time
	for i, c := range m.Calls {
		if late := c.At.Sub(m.Deadline); late > limitSlack+noise {
			add(m, "sent %v after its time", late.Round(time.Millisecond))
		}
		for _, n := range m.Notices {
			if late := c.At.Sub(n.At); late > noise {
				add(m, "sent %v after its notice %s", late.Round(time.Millisecond), n.State)
			}
			if n.State == "returned" && c.Ran && c.At.Before(n.At) {
				add(m, "returned after a call that ran")
			}
		}
		if len(m.Answer) >= 5 && m.Answer[:5] == "-BUSY" {
			add(m, "refused and sent")
		}
		if len(m.Answer) >= 4 && m.Answer[:4] == "-ERR" && c.At.After(m.AnsweredAt.Add(noise)) {
			add(m, "answered as failed and sent")
		}
		for _, x := range m.Calls[:i] {
			if end := x.over(); end.IsZero() || c.At.Before(end.Add(-handled-noise)) {
				add(m, "two attempts out")
			}
			if x.Status == 200 && c.At.After(x.AnsweredAt.Add(crossingAge+noise)) && m.Effect == Unsafe {
				add(m, "sent again after its delivery")
			}
		}
		// A call that was being written as the wait was told, and held up there, can't be kept back any more.
		if in := c.InsideWait - within(stalls, c.At.Add(-c.InsideWait-waitGrace), c.At); in > noise {
			add(m, "sent %v inside a told wait", c.InsideWait.Round(time.Millisecond))
		}
		if c.Ran {
			ran = append(ran, c.At)
		}
	}
	switch {
	case len(ran) > 1 && m.Effect == Unsafe:
		add(m, "ran %d times", len(ran))
	case len(ran) > 1 && m.Effect == Keyed:
		if late := ran[len(ran)-1].Sub(ran[0]) - window; late > limitSlack+noise {
			add(m, "ran again %v after its window", late.Round(time.Millisecond))
		}
	}
}
