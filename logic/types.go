// Package logic schedules the deliveries of one sender to destinations that it does not control: which
// message to send to which endpoint and when, which attempts to cancel, and when a message ends undelivered.
//
// A caller creates a [Sender] with [New] and passes it events, in order, through [Sender.Step], which returns
// the actions to carry out, in order. The package has no clock, no I/O, no goroutines and no global state. A
// Sender is not safe for concurrent use: only one goroutine at a time may call Step.
//
// The caller guarantees that events come in the order in which they happened; that time does not go back (an
// earlier time is read as the last one); that each [StartAttempt] is followed by exactly one [AttemptResult]
// and each [Probe] by exactly one [ProbeResult]; and that Step is called with a [TimerFired] once a
// [SetTimer] has expired (a late call only delays decisions).
//
// The package guarantees that each message ends exactly once and in time (by the AttemptResult that sets
// MessageEnded, a [ReturnMessage] or a [FailMessage]), that nothing is sent for the message after that, and
// that the six rules of the design page hold for this sender alone. Events for unknown messages, endpoints or
// timers are harmless. The same events always give the same actions.
package logic

import "cometrack/internal/permit"

// Micros is a point in time or a duration in whole microseconds. The origin of the clock is arbitrary.
type Micros int64

// Second is one second.
const Second Micros = 1_000_000

// Effect is the effect of delivering a message a second time.
type Effect = permit.Effect

// The kinds of effect.
const (
	Safe   = permit.Safe   // repeating a message has no further effect
	Keyed  = permit.Keyed  // repeats are recognized by their idempotency key for the class's Window
	Unsafe = permit.Unsafe // repeating a message may take effect a second time
)

// Class describes one class of messages: what a delivery is worth and until when, what effect a second
// delivery has, and whether the messages keep their order.
type Class struct {
	Name      string  // identifies the class when the settings change
	Aim       Micros  // a delivery within this time of the submission earns the full worth
	Deadline  Micros  // the message may be delivered for this long after its submission
	Worth     float64 // value of a delivery within Aim, relative to that of other classes
	LateWorth float64 // fraction of Worth that is left at the deadline
	Effect    Effect
	ByZone    bool   // keyed: only endpoints of one zone recognize each other's repeats
	Window    Micros // keyed: repeats are recognized for this long after the first attempt that may have run
	KeepOrder bool   // messages with the same order key are sent one at a time, in order of arrival
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name     string  // identifies the tenant when the settings change
	QuotaRPS float64 // quota in messages per second, over all senders; 0 for none
}

// WeightsMode says whether [Entry].NominalRate is used as the rate limit of the destination, or of the
// endpoint if it is independent, and how exact it is.
type WeightsMode int

// The modes of weights.
const (
	WeightsOff     WeightsMode = iota // the field is not used
	WeightsNominal                    // rate limit in calls per second over all senders
	WeightsRough                      // the same, but up to half too high or too low
)

// Settings is the configuration of a [Sender].
type Settings struct {
	Senders          int         // number of senders that share the destinations, including this one
	Zone             int         // zone of this sender; numbers start at 0
	Zones            int         // number of zones; 0 for 1
	Classes          []Class     // indexed by NewMessage.Class; at least one
	Tenants          []Tenant    // indexed by NewMessage.Tenant; may be empty
	Kinds            []Kind      // indexed by Entry.Kind
	Slots            int         // maximum number of calls in flight; one rate limiter allows half of them
	MaxOpen          int         // pending limit, in messages: load is shed when it is near; 0 for no limit
	MaxAttempts      int         // maximum number of attempts per message; 0 for no limit
	Tick             Micros      // granularity of timers: a step may come this much late
	BurstTime        Micros      // burst of an idle limiter, as time at its rate; 0 for the default
	ListOnRequest    bool        // the endpoint list is sent only on request, see RequestEndpoints
	Probing          bool        // probes may be sent; not used by the Sender, which sends none
	MayCancel        bool        // attempts can be cancelled; otherwise, repeatable ones time out early
	AdviseRetry      bool        // returned messages carry the time after which the client may retry
	ExponentialDecay bool        // worth halves with each Aim after the first; otherwise it falls linearly
	Weights          WeightsMode // whether Entry.NominalRate is used, and how exact it is

	ConnIdle  Micros  // idle connections close after this time
	ConnCalls int     // number of calls that one connection carries at once; 0 for 1
	ConnCost  float64 // score lost per message if each needs a new connection; if high, idle ones stay open

	MaxRetryAfter  Micros  // longest delay that a client accepts as advice; returned messages advise it
	OverQuotaWorth float64 // fraction, 0 to 1, of its worth that a message over its tenant's quota keeps

	DrainGrace Micros // not used by the Sender; must not be negative
	// A cold destination, that is, one in outage or in slow start after it, is overloaded if it gets, within
	// FallWindow, more than FallMultiple times the calls that it has the capacity for at that time.
	FallMultiple float64
	FallWindow   Micros  // see FallMultiple
	ColdFrom     float64 // fraction, 0 to 1, of its capacity that a destination has right after an outage
	// WarmAfter is the time after an outage in which the capacity grows linearly from ColdFrom to the full one.
	WarmAfter Micros
	// The list is requested again within ListRetryWithin, or within 4 times that after a failed request. 0 means
	// any time.
	ListRetryWithin Micros
	KeyQuiet        Micros // pause of an order key after an attempt whose outcome is not certain

	TrackChanges  bool // changes of destinations are recorded for Sender.ChangedStates
	PublishHealth bool // a HealthChange is emitted for each outage or recovery that this Sender detects

	RemainingIndex int // index in AttemptResult.Load of the unused fraction, 0 to 1, of the limit; -1 if none
	LimitIndex     int // index in AttemptResult.Load of the limit in calls per second; -1 if none
}

// Kind is a kind of destination.
type Kind struct {
	Name string // may not change while the Sender runs
	// Independent means that each endpoint has its own limit, rate and outages. Otherwise, the endpoints of a
	// destination share them.
	Independent bool
	MaxBatch    int // maximum number of messages in one call; 0 for 1
}

// EndpointID identifies an endpoint. Its value carries no meaning.
type EndpointID uint32

// Readiness is the state of an endpoint in the endpoint list. It is independent of the endpoint's health.
type Readiness int

// The states of a listed endpoint.
const (
	Ready    Readiness = iota // takes new attempts
	Draining                  // takes no new attempts; those in flight may finish
	Gone                      // removed from the list
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int       // zone in which it runs; -1 if it is not one of the settings
	Kind     int       // index in Settings.Kinds of its destination; -1 for the zero Kind
	Dest     int64     // number of the destination to which it belongs
	State    Readiness // Gone removes it
	// NominalRate is the rate limit of the destination, or of the endpoint if it is independent, in calls per
	// second of all senders together; 0 if not known. Settings.Weights says whether it is used and how exact it
	// is. A limit from a load report takes its place.
	NominalRate float64
}

// Event is an input of [Sender.Step]: one of the types below.
type Event interface{ isEvent() }

// ListForm is the form of an [Endpoints] event.
type ListForm int

// The forms of an Endpoints event.
const (
	ListDelta  ListForm = iota // changed entries only
	ListFull                   // the whole list; endpoints that are not in it are removed
	ListCached                 // the whole list as last saved; may be outdated
	ListFailed                 // a request for the list failed; the previous list stays valid
)

// Endpoints updates the endpoint list.
type Endpoints struct {
	Form    ListForm
	Entries []Entry // for each endpoint at most one; none for ListFailed
	// Unconfirmed is for ListCached: no attempt starts before another list comes, or for permit.MaxListWait.
	Unconfirmed bool
	Elapsed     Micros // ListFailed: time since the failed request was made; 0 for a subscription that broke
}

// NewMessage submits a new message, or one that this sender had accepted before a restart.
type NewMessage struct {
	ID        string  // an event with the ID of a message that the Sender still knows is ignored
	Remaining Micros  // time left to deliver it
	Key       string  // order key, which counts if the class keeps the order; empty if none
	Dest      int64   // number of its destination, as in Entry.Dest
	Tenant    int     // index in Settings.Tenants; -1 if none
	Class     int     // index in Settings.Classes; not used if Terms are given
	Terms     *Terms  // earlier settings under which it was accepted; nil for the present ones
	History   History // its attempts before a restart; the zero value for a new message
}

// Terms are the settings under which a message was accepted. They apply until it ends, even if the settings
// change.
type Terms struct {
	Class       Class
	MaxAttempts int // maximum number of attempts; 0 for no limit
}

// UpdateSettings replaces the settings. The new settings must pass [CheckUpdate] against the current ones.
// The state of the destinations is kept, and pending messages keep their terms.
type UpdateSettings struct{ Settings Settings }

// History is the history of a message before a restart. The zero value is that of a new message.
type History struct {
	Attempts   int              // number of attempts made, including one in flight
	MayHaveRun bool             // one of them may have run
	SinceFirst Micros           // time since the first attempt that may have run was sent
	Zone       int              // zone of that attempt's endpoint
	Inherited  bool             // it was accepted by a previous process
	Ended      bool             // the message has ended, except that its last attempt is still in flight
	InFlight   *InFlightAttempt // the last attempt if it is still in flight in another process; nil otherwise
}

// InFlightAttempt is an attempt that another process has started and whose one [AttemptResult] is still to
// come.
type InFlightAttempt struct {
	Endpoint    EndpointID // if it is not listed, the attempt counts as one that may have run
	Age         Micros     // time since it was sent
	BatchedWith string     // ID of an earlier submitted message that travels in the same call; empty if none
}

// QuietKey pauses an order key for the Remaining time: none of its messages is sent until then.
type QuietKey struct {
	Key       string
	Remaining Micros
}

// RequestedWait restores a wait that an endpoint requested before a restart; it lasts for the Remaining time.
type RequestedWait struct {
	Endpoint  EndpointID
	Remaining Micros
}

// PeerHealth is the event that reports the health of an endpoint as other senders have published it.
type PeerHealth struct {
	Endpoint    EndpointID
	Outage      bool // another sender has detected an outage
	TryNow      bool // the endpoint has answered another sender, or it is this sender's turn to test it
	TrialFactor int  // during an outage, trials are this many times rarer than those of a single sender; 0 for 1
}

// DestinationState is a snapshot of the state of a destination, for a later process. Durations are times
// since an event, or [SinceNever]. It does not include calls in flight.
type DestinationState struct {
	Dest        int64            // as in Entry.Dest
	Unhealthy   bool             // an endpoint is in outage, or in slow start after one
	SinceUsed   Micros           // time since its last message was submitted
	Arrivals    int              // messages submitted since the last outage began
	SinceOutage Micros           // time since that outage was detected
	Limiter     LimiterState     // of the limiter that its endpoints share, if they are not independent
	Endpoints   []EndpointState  // the listed ones
	Latencies   LatencyHistogram // of its answered calls
	Exact       bool             // complete, and nothing has happened since; see [Sender.HandOver]
}

// SinceNever is the time since an event that has not happened.
const SinceNever = 365 * 24 * 3600 * Second

// LimiterState is the state of a rate limiter.
type LimiterState struct {
	Limit         float64 // reported limit in calls per second; 0 if none
	Rate          float64 // adaptive rate in calls per second; 0 if it is not limited
	SinceDecrease Micros  // time since the last decrease of Rate; not used if Rate is 0
	PeakRate      float64 // most calls within a second, not counting outages and slow starts; 0 if none
	LimiterHandover
}

// EndpointState is the state of an endpoint.
type EndpointState struct {
	Endpoint                   EndpointID
	Limiter                    LimiterState // only for kinds with independent endpoints
	Outage, Cold               bool         // in outage; in outage or in slow start after one
	SinceRecovery              Micros       // time since the end of its last outage
	SinceSuccess, SinceFailure Micros       // times since the last successful answer and the last failure
	SinceIndependentSuccess    Micros       // time since it was last known healthy during a sibling's outage
	TrialInterval              Micros       // interval between trials during an outage; 0 if there is none
	FailureRatio               float64      // moving average, 0 to 1
	Latency                    Micros       // smoothed latency; 0 if not known
	// Numbers in a row of failures, rejections for overload, and broken or refused connections.
	Failures, Overloads, Resets int
	EndpointHandover
}

// LatencyHistogram holds the weights of latencies by bin, in sixteenths. Empty bins are omitted.
type LatencyHistogram struct {
	Bins        []uint8  // indices of the bins that are not empty
	Weights     []uint16 // weight of each of Bins, in sixteenths of a call
	Censored    uint16   // weight of the calls of which only a lower bound is known, in sixteenths
	SinceSample Micros   // time since the last sample
}

// RestoreState restores the state of a destination from a snapshot that was taken Age ago. It must follow the
// list that names the endpoints. State that this Sender has gathered itself takes precedence.
type RestoreState struct {
	Age   Micros
	State DestinationState
}

// isEvent marks the type as an input of [Sender.Step].
func (RestoreState) isEvent() {}

// Stopping announces that the sender stops after the Remaining time. Attempts that cannot finish by then are
// not started.
type Stopping struct{ Remaining Micros }

// StreamStarted reports that the response of an attempt has begun to stream. From then on the attempt is not
// cancelled and the message is not ended.
type StreamStarted struct {
	ID      string
	Attempt int // 0 for the first attempt of the message
}

// unknownLatency is the assumed latency while none has been measured. A message with less time left would
// expire before it arrives.
const unknownLatency Micros = 50_000

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes. Overloaded, ConnectionRefused and NotSent prove that the attempt did not run.
const (
	Completed         Outcome = iota // delivered
	Errored                          // answered with an error
	Overloaded                       // rejected for overload, before it ran
	TimedOut                         // no answer within the timeout
	ConnectionRefused                // no connection could be established
	ConnectionBroken                 // the connection broke
	Cancelled                        // cancelled by this sender after it was sent; the message may have run
	NotSent                          // not sent: no free slot, the message had ended, or too many attempts
	InvalidResponse                  // response that cannot be parsed; the message may have run
)

// outcomeNames holds the names of the outcomes in traces, indexed by Outcome.
var outcomeNames = [...]string{"completed", "errored", "full", "overdue", "refused connection", "severed",
	"recalled", "moot", "spoilt"}

// String returns the name of the outcome, or "unknown".
func (o Outcome) String() string {
	if o >= 0 && int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// AttemptResult reports the outcome of an attempt. Exactly one follows each [StartAttempt].
type AttemptResult struct {
	ID           string
	MessageEnded bool // the message has ended, delivered or otherwise; no further attempt is made
	Endpoint     EndpointID
	Attempt      int // 0 for the first attempt of the message; a result of one not in flight is ignored
	Outcome      Outcome
	Latency      Micros    // time from the start of the attempt to its outcome
	RetryAfter   Micros    // wait that the endpoint requested: its limiter allows no calls until then; 0 if none
	Load         []float64 // load report, see Settings.RemainingIndex and LimitIndex; nil if none
}

// ClientGone reports that the client no longer wants the message, which ends with no further action but the
// cancellation of its attempt in flight.
type ClientGone struct{ ID string }

// TimerFired reports that a timer has expired. Token is that of its [SetTimer]; the Sender does not read it.
type TimerFired struct{ Token uint64 }

// ProbeResult reports the outcome of a probe. Exactly one follows each [Probe].
type ProbeResult struct {
	Endpoint EndpointID
	Outcome  Outcome
	Load     []float64 // as in AttemptResult.Load
}

// isEvent marks the type as an input of [Sender.Step], as it does for the types below.
func (Endpoints) isEvent()      {}
func (NewMessage) isEvent()     {}
func (StreamStarted) isEvent()  {}
func (AttemptResult) isEvent()  {}
func (ClientGone) isEvent()     {}
func (TimerFired) isEvent()     {}
func (ProbeResult) isEvent()    {}
func (Stopping) isEvent()       {}
func (RequestedWait) isEvent()  {}
func (UpdateSettings) isEvent() {}
func (QuietKey) isEvent()       {}
func (PeerHealth) isEvent()     {}

// Action is an output of [Sender.Step]: one of the types below.
type Action interface{ isAction() }

// StartAttempt sends a message to an endpoint. The first attempt of a message has number 0, the next 1, and
// so on. Attempts that one Step starts at one endpoint travel in one call, up to the MaxBatch of its kind.
type StartAttempt struct {
	ID       string
	Timeout  Micros // the attempt ends without an answer after this; at most the time left of the message
	Endpoint EndpointID
}

// Cancel cancels an attempt. Its one [AttemptResult] still follows.
type Cancel struct {
	ID      string
	Attempt int // 0 for the first attempt of the message
}

// ReturnMessage ends a message undelivered. No attempt of it has run: the client may safely submit it again.
type ReturnMessage struct {
	ID      string
	RetryIn Micros // advised delay before submitting it again; 0 for none
}

// FailMessage ends a message of which it is not known whether it took effect: an attempt of it may have run.
type FailMessage struct{ ID string }

// SetTimer requests a [TimerFired] after Wait. It replaces an earlier timer that has not fired.
type SetTimer struct {
	Wait  Micros
	Token uint64 // to be given back in TimerFired
}

// Probe sends a health check to an endpoint. The Sender emits none at present and ignores a [ProbeResult]:
// its trials of an endpoint in outage are attempts of messages.
type Probe struct{ Endpoint EndpointID }

// CloseIdle closes the connections to an endpoint that carry no call. With many senders, it follows the last
// call in flight to a rarely used endpoint, which the idle connections of all senders would exhaust.
type CloseIdle struct{ Endpoint EndpointID }

// HealthChange publishes that this Sender has itself detected an outage of an endpoint, or, if Outage is
// false, that the endpoint has answered a call that began after the outage was last detected or reported by a
// peer.
type HealthChange struct {
	Endpoint EndpointID
	Outage   bool
}

// RequestEndpoints requests the endpoint list and its updates.
type RequestEndpoints struct{}

// Log is an action that writes Text as one line to the log for the operators.
type Log struct{ Text string }

// isAction marks the type as an output of [Sender.Step], as it does for the types below.
func (StartAttempt) isAction()     {}
func (Cancel) isAction()           {}
func (ReturnMessage) isAction()    {}
func (FailMessage) isAction()      {}
func (SetTimer) isAction()         {}
func (Probe) isAction()            {}
func (CloseIdle) isAction()        {}
func (RequestEndpoints) isAction() {}
func (HealthChange) isAction()     {}
func (Log) isAction()              {}
