// Package logic decides for one sender that hands messages to destinations it
// does not control: what to send where and when, what to call off, and when a
// message ends undelivered.
//
// A caller makes a [Sender] with [New] and hands it what happened, in order,
// through [Sender.Step]; the reply is the list of things to do, in order. The
// module has no clock, no I/O, no goroutines and no globals. A Sender is not
// safe for concurrent use: one goroutine at a time may call Step.
//
// The caller owes: events in the order in which they happened; a time that does
// not go back (an earlier time is read as the last one); exactly one [Reply] for
// each [CallOut] and one [HealthResult] for each [Probe]; and a Step with a
// [Due] when a [SetTimer] has run out (a late one only makes the module late).
//
// The module promises: each message ends exactly once and in time (by the Reply
// that carries NoMore, a [Refuse] or a [Fail]), nothing is sent for it after
// that, and the six rules of the design page hold for this sender alone. Events
// for messages, endpoints or timers that it does not know do no harm. The same
// events give the same actions.
package logic

import "cometrack/internal/permit"

// Micros is a time or a span in whole microseconds. The clock may start
// anywhere.
type Micros int64

// Second is one second.
const Second Micros = 1_000_000

// Effect tells what a repeat of a message does.
type Effect = permit.Effect

// The three kinds of effect.
const (
	Safe   = permit.Safe
	Keyed  = permit.Keyed
	Unsafe = permit.Unsafe
)

// Class describes one class of message.
type Class struct {
	Name      string
	Aim       Micros // delivered within this, it earns its full worth
	Deadline  Micros // how long it may be delivered at all
	Worth     float64
	LateWorth float64 // share of the worth that is left at the deadline
	Effect    Effect
	ByZone    bool   // keyed: only endpoints of one zone drop repeats of each other
	Window    Micros // keyed: how long repeats are dropped, from the first send that may have run
	KeepOrder bool   // messages of one key go one at a time, in order of arrival
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Name     string
	QuotaRPS float64 // messages a second inside its share, over all senders
}

// WeightsMode tells what Entry.Nominal holds.
type WeightsMode int

// The kinds of weights.
const (
	WeightsOff     WeightsMode = iota // nothing
	WeightsNominal                    // the destination's rate in calls a second, all senders together
	WeightsRough                      // the same, up to half too high or too low
)

// Settings are the facts that a deployment states at start.
type Settings struct {
	Senders    int // senders that share the destinations, this one counted
	Zone       int // this sender's zone
	Zones      int
	Classes    []Class
	Tenants    []Tenant // may be empty
	Kinds      []Kind
	Slots      int // calls out at once
	MaxOpen    int // messages held at once; 0 for no limit
	MaxTries   int // attempts for a message; 0 for no limit
	Tick       Micros
	Save       Micros // what an idle pace saves up, as the time in which it would be sent; 0 for the default
	OnRequest  bool   // the endpoint list comes only when asked for
	Probing    bool
	MayCancel  bool
	RetryAfter bool // clients are given advice on when to come again
	Halves     bool // worth falls by half with each aim after the first; else evenly
	Weights    WeightsMode

	ConnIdle  Micros  // idle connections close after this
	ConnCalls int     // calls that one connection carries at once
	ConnPrice float64 // points taken off for a new connection with each message

	MaxRetryAfter  Micros
	OverShareWorth float64 // part of its worth that a message over its tenant's quota keeps

	DrainGrace   Micros
	FallMultiple float64 // sent more than this many times its capacity
	FallWindow   Micros  // for this long, a cold destination falls over
	ColdFrom     float64 // share of its capacity that a destination has after an outage
	WarmAfter    Micros  // and when it has all of it again
	AskWithin    Micros  // within which a list on request is asked for anew, times four after a failure; 0: any
	KeyQuiet     Micros  // rest of a key after an attempt whose end is not sure

	Remember bool // Sender.Remember is going to be called
	Share    bool // what this Sender finds is told to others: it says so by Learnt

	ReportLeft  int // place of the share of the limit that is left in Reply.Load; -1 if none
	ReportLimit int // place of the limit in calls a second in Reply.Load; -1 if none
}

// Kind is a kind of destination.
type Kind struct {
	Name  string
	Apart bool // endpoints are routes apart, each with its own limit, pace and outages
	Batch int  // messages in one call at most
}

// EndpointID names an endpoint; it tells nothing else.
type EndpointID uint32

// Readiness is what the list says of an endpoint. It says nothing of health.
type Readiness int

// The states of a listed endpoint.
const (
	Ready Readiness = iota
	Draining
	Gone
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int
	Kind     int
	Dest     int64
	State    Readiness
	Nominal  float64
}

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// ListForm tells how an Endpoints event is to be read.
type ListForm int

// The forms of list news.
const (
	ListDelta  ListForm = iota // changes only
	ListFull                   // the whole list; what is not in it is gone
	ListCached                 // the whole list as last saved, maybe old
	ListFailed                 // a request for the list failed; the old one stands
)

// Endpoints is news of the endpoint list.
type Endpoints struct {
	Form    ListForm
	Entries []Entry
	Took    Micros // of a call that failed: how long ago it was made; 0 for a subscription that broke
}

// Call is a new message, or one that this sender had before a restart.
type Call struct {
	ID     string
	Left   Micros // how long it may still be delivered
	Key    string // order key; empty if none
	Dest   int64
	Tenant int // -1 if none
	Class  int
	Terms  *Terms // of earlier settings that it was taken on under; nil for the present ones
	Past   Past
}

// Terms are what a message is held to as long as it lasts, whatever settings come
// after.
type Terms struct {
	Class    Class
	MaxTries int
}

// Retune puts other settings in the place of those that hold. They must pass
// [Check] beside them. What the Sender has learnt stands; messages that it holds
// keep their terms.
type Retune struct{ Settings Settings }

// Past is what became of a message before a restart; the zero value is that of a
// new message.
type Past struct {
	Tries  int    // attempts made
	MayRun bool   // one of them may have run
	Age    Micros // time since the first that may have run was sent
	Zone   int    // zone of its endpoint
	Held   bool   // it was taken on by a process before this one
	Over   bool   // it has ended, but for the attempt that is still out
	Out    *Out   // the last attempt is still out, in another process; nil if it is not
}

// Out is an attempt that another process has made and whose one Reply is to come.
type Out struct {
	Endpoint EndpointID
	Age      Micros // since it was sent
	With     string // a message that travels in the same call and was handed in before; empty if none does
}

// KeyRest says that an order key rests for Left.
type KeyRest struct {
	Key  string
	Left Micros
}

// Told says that a wait which an endpoint told before a restart goes on for Left.
type Told struct {
	Endpoint EndpointID
	Left     Micros
}

// Heard is what others say of an endpoint.
type Heard struct {
	Endpoint EndpointID
	Out      bool // another sender has found it out
	Try      bool // it has answered another, or the turn to try it has come to this sender
	Turn     int  // while it is out, single trials are to be so many times rarer than by one alone; 0 for 1
}

// Memory is what is known of a destination, for a process that comes after this one. Spans are those since
// something was, or [Unseen]. It tells nothing of calls that are out.
type Memory struct {
	Dest      int64
	Sick      bool   // an endpoint is out, or not warm yet after an outage
	Used      Micros // since its last message came
	Came      int    // messages since the last outage began
	Down      Micros // since that was seen
	Lane      LaneMemory
	Endpoints []EndpointMemory
	Took      TookMemory
	Exact     bool // nothing has happened since, and nothing is left out; see [Sender.HandOver]
}

// Unseen is the span since what has not been yet.
const Unseen = 365 * 24 * 3600 * Second

// LaneMemory is what is known of a limit.
type LaneMemory struct {
	Limit  float64 // calls a second that reports have told; 0 if none has
	Pace   float64 // calls a second; 0 for none
	Halved Micros
	Peak   float64 // most calls in a second
	LaneExact
}

// EndpointMemory is what is known of an endpoint.
type EndpointMemory struct {
	Endpoint             EndpointID
	Lane                 LaneMemory // of its own, at kinds with routes apart
	Out, Cold            bool
	Back                 Micros // since its return
	Good, Bad            Micros // since the last good answer and the last failure
	Well                 Micros // since the last answer that speaks for it alone
	Gap                  Micros // between single trials
	Failing              float64
	Slow                 Micros // its usual latency
	Fails, Fulls, Resets int
	EndpointExact
}

// TookMemory is a histogram of latencies: weights by bin, in sixteenths; bins without are left out.
type TookMemory struct {
	Bins    []uint8
	Weights []uint16
	Cuts    uint16
	Since   Micros // since the last sample
}

// Recall hands a Sender what an earlier one has told of a destination, Age before now. It follows the list
// that names the endpoints; what this Sender has learnt itself stands.
type Recall struct {
	Age    Micros
	Memory Memory
}

func (Recall) isEvent() {}

// Closing says that the sender stops within Left: what cannot finish by then is
// not to be begun.
type Closing struct{ Left Micros }

// Started says that a stream has begun to flow: nothing more can be done for
// the message.
type Started struct {
	ID      string
	Attempt int
}

// blind is the least time for which a message is sent while no latency is known: with less, its time is over
// before it arrives.
const blind Micros = 50_000

// Outcome says how an attempt ended.
type Outcome int

// Outcomes. Full, RefusedConn and Moot prove that the attempt never ran.
const (
	Completed   Outcome = iota // delivered
	Errored                    // answered with an error
	Full                       // turned away unseen
	Overdue                    // no answer in the time given
	RefusedConn                // no connection could be made
	Severed                    // the connection broke
	Recalled                   // called off
	Moot                       // never sent: no slot, message over, or too many attempts
	Spoilt                     // answered with what can't be read: it may have run, and the endpoint is there
)

var outcomes = [...]string{"completed", "errored", "full", "overdue", "refused connection", "severed",
	"recalled", "moot", "spoilt"}

func (o Outcome) String() string {
	if o >= 0 && int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "unknown"
}

// Reply is the one outcome of an attempt.
type Reply struct {
	ID       string
	NoMore   bool // the message is over
	Endpoint EndpointID
	Attempt  int
	Outcome  Outcome
	Took     Micros
	Wait     Micros // Full: the wait that was told; 0 if none
	Load     []float64
}

// ClientGone says that nobody wants the message any more.
type ClientGone struct{ ID string }

// Due says that a timer has run out.
type Due struct{ Token uint64 }

// HealthResult is the one outcome of a probe.
type HealthResult struct {
	Endpoint EndpointID
	Outcome  Outcome
	Load     []float64
}

func (Endpoints) isEvent()    {}
func (Call) isEvent()         {}
func (Started) isEvent()      {}
func (Reply) isEvent()        {}
func (ClientGone) isEvent()   {}
func (Due) isEvent()          {}
func (HealthResult) isEvent() {}
func (Closing) isEvent()      {}
func (Told) isEvent()         {}
func (Retune) isEvent()       {}
func (KeyRest) isEvent()      {}
func (Heard) isEvent()        {}

// Action is something to do: one of the types below.
type Action interface{ isAction() }

// CallOut sends the message to an endpoint. The first CallOut of a message is
// attempt 0, the next attempt 1, and so on. CallOuts of one Step to one
// endpoint travel as one call as far as its kind's Batch allows.
type CallOut struct {
	ID       string
	GiveUp   Micros
	Endpoint EndpointID
}

// Cancel calls off an attempt; its one Reply still comes.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse ends a message undelivered; the client may safely come again.
type Refuse struct {
	ID      string
	RetryIn Micros // advice; 0 for none
}

// Fail ends a message; whether it took effect is not known.
type Fail struct{ ID string }

// SetTimer asks for a Due after Wait.
type SetTimer struct {
	Wait  Micros
	Token uint64
}

// Probe sends a check to an endpoint.
type Probe struct{ Endpoint EndpointID }

// Release gives back the idle connections to an endpoint.
type Release struct{ Endpoint EndpointID }

// Learnt says that this Sender has itself found an endpoint out, or, if not Out, has
// had an answer to a call begun after it last found or heard that.
type Learnt struct {
	Endpoint EndpointID
	Out      bool
}

// Listen asks for the endpoint list and its changes.
type Listen struct{}

// Log is a line for the people on call.
type Log struct{ Text string }

func (CallOut) isAction()  {}
func (Cancel) isAction()   {}
func (Refuse) isAction()   {}
func (Fail) isAction()     {}
func (SetTimer) isAction() {}
func (Probe) isAction()    {}
func (Release) isAction()  {}
func (Listen) isAction()   {}
func (Learnt) isAction()   {}
func (Log) isAction()      {}
