package lifecycle

import "time"

// State is the state of a process between its start and its end.
type State int

// The states.
const (
	Starting    State = iota // not serving yet
	Serving                  // accepts and sends messages
	LameDuck                 // taken out of service by an operator; still sends its pending messages
	HandingOver              // a successor has requested the handover; serves until that is complete
	HandedOver               // the successor is in charge; this process only finishes its calls in flight
	Leaving                  // shutting down after SIGTERM
	states                   // number of states
)

var stateNames = [...]string{"starting", "serving", "lame duck", "handing over", "handed over", "leaving"}

// String returns the name of the state, as operators see it.
func (s State) String() string {
	if s >= 0 && s < states {
		return stateNames[s]
	}
	return "unknown"
}

// Event is an event that may change the state of a process.
type Event int

// The events.
const (
	Started           Event = iota // initialization is complete
	DrainOn                        // an operator takes the process out of service
	DrainOff                       // an operator puts it back into service
	HandoverRequested              // a successor process requests the handover
	HandoverAborted                // the successor has disconnected or failed before completion
	HandoverCompleted              // the successor has the whole state and is in charge from now on
	Terminate                      // the process must shut down (SIGTERM)
	events                         // number of events
)

var eventNames = [...]string{"started", "drain on", "drain off", "successor came", "successor gone", "taken over",
	"terminate"}

// String returns the name of the event, as operators see it.
func (e Event) String() string {
	if e >= 0 && e < events {
		return eventNames[e]
	}
	return "unknown"
}

// Timeouts are the durations that the states depend on.
type Timeouts struct {
	// DrainGrace is how long clients are served as before after PING has first reported not ready, so that they have
	// time to move to other senders.
	DrainGrace time.Duration
	// StopTimeout is the longest time from the Terminate event to the exit of the process.
	StopTimeout time.Duration
}

// Behavior is how a process serves its clients at a time.
type Behavior struct {
	State             State
	Ready             bool // PING and /_ready report ready
	AcceptConnections bool // new connections are accepted
	// ShortenDeadlines is set if requests that are partly received have little time left to complete.
	ShortenDeadlines bool
	KeepAlive        bool // idle connections are kept; else they are closed when no request is in progress
	// ExitWhenIdle is set if the process exits as soon as it owes no response.
	ExitWhenIdle bool
	// ExitNow is set if the process exits although it may owe responses.
	ExitNow bool
}

// Machine is the lifecycle of one process. The zero value is not usable; see [New].
type Machine struct {
	timeouts Timeouts
	state    State
	since    time.Time // when it entered this state
	drained  bool      // taken out of service by an operator, possibly before or during another state
	served   bool      // it has been in service since its start
}

// New returns the machine of a process that is starting.
func New(timeouts Timeouts, now time.Time) *Machine {
	return &Machine{timeouts: timeouts, state: Starting, since: now}
}

// transitions is the next state for each state and event. A pair that is missing changes nothing: the event is too
// late, too early, or repeated.
var transitions = [states][events]State{
	Starting: {Started: Serving, Terminate: Leaving},
	Serving:  {DrainOn: LameDuck, HandoverRequested: HandingOver, Terminate: Leaving},
	LameDuck: {DrainOff: Serving, HandoverRequested: HandingOver, Terminate: Leaving},
	// A drain that begins or ends in this state takes effect when the handover is aborted.
	HandingOver: {HandoverAborted: Serving, HandoverCompleted: HandedOver, Terminate: Leaving},
	HandedOver:  {Terminate: Leaving},
}

// Handle processes an event at a time and reports whether the state has changed.
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
	next := transitions[m.state][ev]
	if next == Serving && m.drained { // drained before it served, or during the handover
		next = LameDuck
	}
	if next == Starting || next == m.state {
		return false
	}
	m.state, m.since = next, now
	m.served = m.served || next == Serving || next == LameDuck
	return true
}

// Behavior returns the behavior at a time.
func (m *Machine) Behavior(now time.Time) Behavior {
	b := Behavior{State: m.state}
	graceOver := now.Sub(m.since) >= m.timeouts.DrainGrace
	switch m.state {
	case Serving:
		b.Ready, b.AcceptConnections, b.KeepAlive = true, true, true
	case LameDuck:
		b.AcceptConnections, b.KeepAlive = true, !graceOver
	case HandingOver:
		b.Ready, b.AcceptConnections, b.KeepAlive = !m.drained, true, !m.drained
	case HandedOver: // the successor serves new clients; those connected here must reconnect
		b.Ready, b.ExitWhenIdle = !m.drained, true
	case Leaving:
		b.AcceptConnections, b.KeepAlive = m.served && !graceOver, m.served && !graceOver
		b.ShortenDeadlines = true
		b.ExitWhenIdle, b.ExitNow = !b.AcceptConnections, now.Sub(m.since) >= m.timeouts.StopTimeout
	}
	return b
}

// NextChange returns when the behavior changes next if no event occurs; the zero time for never.
func (m *Machine) NextChange(now time.Time) time.Time {
	var changes []time.Time
	switch m.state {
	case LameDuck:
		changes = []time.Time{m.since.Add(m.timeouts.DrainGrace)}
	case Leaving:
		changes = []time.Time{m.since.Add(m.timeouts.DrainGrace), m.since.Add(m.timeouts.StopTimeout)}
	}
	for _, t := range changes {
		if t.After(now) {
			return t
		}
	}
	return time.Time{}
}
