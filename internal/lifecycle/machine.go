package lifecycle

import "time"

// State is where a process stands between its start and its end.
type State int

// The states.
const (
	Starting    State = iota // it does not serve yet
	Serving                  // it takes and sends messages
	LameDuck                 // an operator has taken it out of service; it sends what it holds
	HandingOver              // a successor has asked for what it holds; it serves until that is handed over
	HandedOver               // the successor decides; this process finishes the calls that are out
	Leaving                  // it has been told to end
	states
)

var stateNames = [...]string{"starting", "serving", "lame duck", "handing over", "handed over", "leaving"}

func (s State) String() string {
	if s >= 0 && s < states {
		return stateNames[s]
	}
	return "unknown"
}

// Event is something that happens to a process.
type Event int

// The events.
const (
	Started           Event = iota // it can serve
	DrainOn                        // an operator takes it out of service
	DrainOff                       // and back
	HandoverRequested              // another process asks for what this one holds
	HandoverAborted                // and has gone away, or failed, before it had it
	HandoverCompleted              // the successor has all of it and decides from here on
	Terminate                      // the process is to end (SIGTERM)
	events
)

var eventNames = [...]string{"started", "drain on", "drain off", "successor came", "successor gone", "taken over", "terminate"}

func (e Event) String() string {
	if e >= 0 && e < events {
		return eventNames[e]
	}
	return "unknown"
}

// Timeouts are the spans that a deployment sets.
type Timeouts struct {
	// DrainGrace is how long clients may go on coming after PING has first said no: until
	// then they are served as before.
	DrainGrace time.Duration
	// StopTimeout is how long a process that is told to end may take at most.
	StopTimeout time.Duration
}

// Behavior is what a process does for now.
type Behavior struct {
	State             State
	Ready             bool // PING and /_ready say yes
	AcceptConnections bool // new connections are taken
	// ShortenDeadlines says that requests that have begun to come have little time left.
	ShortenDeadlines bool
	KeepAlive        bool // connections may rest between requests; else they are closed once nothing is under way
	// ExitWhenIdle says that the process ends once nothing is owed by it.
	ExitWhenIdle bool
	// ExitNow says that it ends whatever is owed.
	ExitNow bool
}

// Machine is the lifecycle of one process. The zero value is not usable; see [New].
type Machine struct {
	times   Timeouts
	state   State
	since   time.Time // when it came into this state
	drained bool      // an operator has taken it out of service and not put it back
	began   bool      // it has served
}

// New makes the machine of a process that is starting.
func New(times Timeouts, now time.Time) *Machine {
	return &Machine{times: times, state: Starting, since: now}
}

// next is where each event leads from each state. A pair that is not there changes
// nothing: the event is too late, too early, or said before.
var next = [states][events]State{
	Starting: {Started: Serving, Terminate: Leaving},
	Serving:  {DrainOn: LameDuck, HandoverRequested: HandingOver, Terminate: Leaving},
	LameDuck: {DrainOff: Serving, HandoverRequested: HandingOver, Terminate: Leaving},
	// A drain that begins or ends meanwhile counts from when the successor is gone.
	HandingOver: {HandoverAborted: Serving, HandoverCompleted: HandedOver, Terminate: Leaving},
	HandedOver:  {Terminate: Leaving},
}

// Handle takes an event and reports whether the state has changed.
func (m *Machine) Handle(ev Event, now time.Time) bool {
	if ev < 0 || ev >= events {
		return false
	}
	switch ev {
	case DrainOn:
		m.drained = true
	case DrainOff:
		m.drained = false
	}
	to := next[m.state][ev]
	if to == Serving && m.drained { // told to drain before it served, or while it handed over
		to = LameDuck
	}
	if to == Starting || to == m.state {
		return false
	}
	m.state, m.since = to, now
	m.began = m.began || to == Serving || to == LameDuck
	return true
}

// Behavior tells what to do at a time.
func (m *Machine) Behavior(now time.Time) Behavior {
	v := Behavior{State: m.state}
	late := now.Sub(m.since) >= m.times.DrainGrace
	switch m.state {
	case Serving:
		v.Ready, v.AcceptConnections, v.KeepAlive = true, true, true
	case LameDuck:
		v.AcceptConnections, v.KeepAlive = true, !late
	case HandingOver:
		v.Ready, v.AcceptConnections, v.KeepAlive = !m.drained, true, !m.drained
	case HandedOver: // the successor answers new clients; those that are here have to go there
		v.Ready, v.ExitWhenIdle = !m.drained, true
	case Leaving:
		v.AcceptConnections, v.KeepAlive = m.began && !late, m.began && !late
		v.ShortenDeadlines = true
		v.ExitWhenIdle, v.ExitNow = !v.AcceptConnections, now.Sub(m.since) >= m.times.StopTimeout
	}
	return v
}

// NextChange is when the view changes next if nothing happens; zero for never.
func (m *Machine) NextChange(now time.Time) time.Time {
	var at []time.Time
	switch m.state {
	case LameDuck:
		at = []time.Time{m.since.Add(m.times.DrainGrace)}
	case Leaving:
		at = []time.Time{m.since.Add(m.times.DrainGrace), m.since.Add(m.times.StopTimeout)}
	}
	for _, t := range at {
		if t.After(now) {
			return t
		}
	}
	return time.Time{}
}
