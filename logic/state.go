package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// The state of a Sender, and functions that maintain it. The decisions are in logic.go and the other files.

// destination is a destination. Its endpoints share its limiter unless they are independent.
type destination struct {
	id                        int64       // as in Entry.Dest
	kind                      int         // index in Settings.Kinds
	endpoints                 []*endpoint // listed endpoints, in the order of the list
	nextEndpoint              int         // index of the endpoint at which the rotation of first attempts starts
	limiter                   *limiter    // of its endpoints, unless they are independent
	latencies                 histogram   // of its answered calls
	lastUsed                  Micros      // when the last message for it was submitted
	arrivals                  int         // messages submitted since outageAt
	outageAt                  Micros      // when the last outage began, or some minutes ago if that is later
	rank                      float64     // load shedding: number of its messages ranked so far
	load                      float64     // 1 + calls in flight at the start of the pass; it lowers the priority
	pausedUntil               Micros      // after a restart, its cold endpoints get no calls until then
	changed, healthChanged    bool        // since the last snapshot for a later process
	restored                  bool        // the snapshot of a previous process has been restored
	reportedAt                Micros      // time of the last snapshot
	groups                    []*group    // of the queued messages
	messages, pending, queued int         // numbers: known; of these, not ended; of these, not in flight
	active                    bool        // the next dispatch visits it: sends what it can of its messages
	revisitAt                 Micros      // next visit, as determined so far in this pass; never if not known
	blockedStep, visitedStep  int         // last step in which it could take no more calls; of the last visit
	timer                     timer       // of the next visit, if it is not active
}

// limiter is the state of a rate limiter. It is warm while none of its endpoints is in outage or slow start.
type limiter struct {
	dest          *destination // whose calls, or the calls of one of whose endpoints, it limits
	limit         float64      // reported or nominal calls per second for all senders together; 0 if unknown
	limitReported bool         // limit comes from a load report
	rate          float64      // adaptive rate in calls per second; 0 if unlimited
	decreasedAt   Micros       // time of the last decrease
	tokens        float64      // number of calls that may start, as of refilledAt; may be negative
	refilledAt    Micros       // in the future after a requested wait: tokens accumulate from then on
	nearLimit     bool         // the last load report said that little of the limit is left
	waitUntil     Micros       // end of the requested wait; in the past if there is none
	inFlight      int          // calls in flight
	overloads     int          // rejections for overload in a row
	firstOverload Micros       // time of the first of these
	callTimes     []Micros     // start times of the recent calls, ascending
	peakRate      float64      // most calls within a second, while warm; the estimated capacity if limit is 0
	phase         float64      // random wait of a call, 0 to 1 slow start windows: spreads all senders' calls
}

// endpoint is the state of an endpoint.
type endpoint struct {
	id                       EndpointID
	zone                     int
	state                    Readiness // Gone while it is not listed
	dest                     *destination
	limiter                  *limiter // that of its destination, or its own
	callTimes                []Micros // start times of the recent calls, ascending
	failureRatio             float64  // moving average, 0 to 1
	failures, overloads      int      // in a row; overloads are rejections for overload
	invalidResponses, resets int      // in a row; resets are broken or refused connections
	removedAt                Micros   // when it was last removed from the list
	lastSuccess, lastFailure Micros   // when the last success came, and the last sign of an outage
	independentSuccess       Micros   // when it was last known to be healthy during the outage of a sibling
	lastSuccessSent          Micros   // when the last call was sent that succeeded
	peerReportAt             Micros   // when a peer last reported an outage or a recovery, or asked for a trial
	suspect                  bool     // in outage, as far as known: it takes single trials only
	cold                     bool     // in outage, or in slow start until recoveredAt+WarmAfter; see isCold
	recoveredAt              Micros   // end of its last outage
	trialAt, trialInterval   Micros   // while suspect: next trial, and the time to the one after it
	trialFactor              int      // trials are this many times rarer, as other senders try too; 0 for 1
	inFlight                 int      // calls in flight
	latency                  float64  // smoothed, in microseconds; 0 if unknown
	deficit                  float64  // independent endpoints: deficit in the rotation weighted by limits
	lastSent                 Micros   // when its last attempt started; distantPast if none has
	idleConnUntil            Micros   // time at which its idle connection closes
	openCall                 *call    // last call that was started; it may take more messages in the same step
}

// call is a call to an endpoint, with the attempts of one or more messages.
type call struct {
	step, size, unresolved int    // step in which it started; its attempts; of these, without an outcome
	deadline               Micros // the earliest deadline of its messages
}

// attempt is an attempt in flight.
type attempt struct {
	msg       *message
	number    int // 0 for the first attempt of its message
	endpoint  *endpoint
	startedAt Micros
	call      *call // shared with the other attempts of a batch
	cancelled bool
	restart   bool // cancelled at τ in order to start another attempt
	stuck     bool // unanswered for longer than stuckAfter
	censored  bool // counted in the histogram as longer than τ while it is in flight
}

// message is a message that has not ended or has an attempt in flight.
type message struct {
	id             string
	class          *Class
	classLatencies *histogram   // latencies of its class
	maxAttempts    int          // 0 for no limit
	quotaFactor    float64      // fraction of its worth that it keeps under its tenant's quota
	dest           *destination // not nil
	seq            int          // order of arrival
	arrivalStep    int          // the step in which it arrived
	initialTime    Micros       // time left to deliver it at its arrival
	submittedAt    Micros       // when it was first submitted
	deadline       Micros       // when the time to deliver it is over
	attempts       int          // number of attempts made
	inherited      bool         // accepted by a previous process, and not sent yet
	restarts       int          // attempts cancelled as slow or stuck; each doubles the next time limit
	inFlight       *attempt     // nil if none
	mayHaveRun     bool         // the outcome of an attempt does not prove that it did not run
	mayHaveRunAt   Micros       // when the first attempt that may have run was sent
	mayHaveRunZone int          // zone of its endpoint
	lastEndpoint   *endpoint    // of its last attempt; nil before the first
	backoffUntil   Micros       // no attempt starts before this, after an error or a broken connection
	keyQueue       *keyQueue    // nil without an order key
	ended          bool         // kept only until its attempt in flight has an outcome
	streaming      bool         // its response has begun to stream
	priority       float64      // as last computed by [Sender.priority]
	group          *group       // nil while it is in flight
	expiresAt      Micros       // its deadline, or the end of its window if that is earlier
	listing        int          // list of its group that holds it: notEligible, inEligible or inNearDeadline
	ahead          float64      // load shedding: number of messages of its destination up to it, in order
	candidateStep  int          // the step in which it was last a candidate for load shedding
	timer          *timer       // set while it is backing off or its order key is paused
}

// keyQueue holds the messages of an order key, in order of arrival.
type keyQueue struct {
	key          string
	messages     []*message // not ended, or in flight; only the first may be sent
	quietUntil   Micros     // end of the pause; in the past if there is none
	quietMessage *message   // whose attempt caused the pause; the pause does not apply to it
}

// countAfter returns the number of times after t.
func countAfter(times []Micros, t Micros) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i] > t; i-- {
		n++
	}
	return n
}

// trimBefore drops the times before from, except for the last one.
func trimBefore(times []Micros, from Micros) []Micros {
	i := 0
	for i < len(times)-1 && times[i] < from {
		i++
	}
	return times[i:]
}

// Sender schedules the deliveries of one sender. Create it with [New].
type Sender struct {
	settings         Settings
	rng              *rand.Rand               // seeded in New
	now              Micros                   // of the present step
	step             int                      // number of the present step
	actions          []Action                 // of the present step
	endpoints        map[EndpointID]*endpoint // listed or in removed
	destinations     map[int64]*destination
	destinationOrder []*destination        // in the order in which they became known
	removed          []*endpoint           // removed from the list, state still kept
	cleanupAt        Micros                // time of the next cleanup
	messages         map[string]*message   // by ID
	pending          int                   // messages not ended
	queued           int                   // of these, not in flight
	groups           []*group              // those with queued messages, of all destinations, in no order
	active           []*destination        // to be visited by the next dispatch
	timers           timerHeap             // of messages, destinations and groups
	arrivals         []*message            // messages that arrived in this step
	shedIndex        int                   // index of the group last considered for load shedding
	idleKeys         []string              // order keys without messages, to be dropped when their pause is over
	inFlight         []*attempt            // in the order in which they started
	usedSlots        int                   // calls in flight
	seq              int                   // number of messages accepted
	classLatencies   map[string]*histogram // by name of the class
	tenantUsage      []usage               // same order as settings.Tenants
	keyQueues        map[string]*keyQueue  // by order key
	wakeAt           Micros                // time at which work is next due; never if none is
	timerAt          Micros                // time at which the last timer fires; 0 if none is set
	list             listState             // when the list was received and when it is requested
	stopAt           Micros                // when this sender stops; 0 if it does not
	logLines         int                   // number of log lines, including those not written over maxLogLines
	manySenders      bool                  // Settings.Senders is more than manySendersOver
	changed          []*destination        // destinations with changes to snapshot
	changesDue       Micros                // when the next of these snapshots is due
}

// applySettings replaces the settings. The state of classes and tenants is kept by name.
func (s *Sender) applySettings(set Settings) {
	if set.BurstTime == 0 {
		set.BurstTime = defaultBurstTime
	}
	if !set.AdviseRetry {
		set.MaxRetryAfter = 0
	}
	if s.list.maxRetry = maxListRetry; set.ListRetryWithin > 0 { // 4 times that, less the request itself
		s.list.maxRetry = min(maxListRetry, 3*set.ListRetryWithin)
	}
	byClass, usage := map[string]*histogram{}, make([]usage, len(set.Tenants))
	for _, c := range set.Classes {
		if byClass[c.Name] = s.classLatencies[c.Name]; byClass[c.Name] == nil {
			byClass[c.Name] = &histogram{}
		}
	}
	for i, t := range set.Tenants {
		if j := slices.IndexFunc(s.settings.Tenants, func(x Tenant) bool { return x.Name == t.Name }); j >= 0 {
			usage[i] = s.tenantUsage[j]
		}
	}
	s.settings, s.classLatencies, s.tenantUsage, s.manySenders =
		set, byClass, usage, set.Senders > manySendersOver
}

// histogram is a discounted histogram of latencies.
type histogram struct {
	weights     [binCount + 1]float64 // the last bin holds latencies beyond the last edge
	total       float64               // weight of all bins: the number of samples, older ones discounted
	censored    float64               // weight of the calls of which only a lower bound is known
	updatedAt   Micros                // time of the last sample
	restartTime Micros                // τ, the age at which a call is restarted; 0 if waiting is better
	median      Micros                // upper edge of the bin that holds it; 0 without samples
	p95         Micros                // the 95th percentile, in the same way
	lastUsual   Micros                // latency that [Sender.latenciesChanged] last used for the class
}

func (s *Sender) emit(a Action)   { s.actions = append(s.actions, a) } // adds to the result of this Step
func (s *Sender) wakeBy(t Micros) { s.wakeAt = min(s.wakeAt, t) }      // makes a Step due at t or earlier

// removeEndpoint takes an endpoint off the list. Its state is kept for removedRetention.
func (s *Sender) removeEndpoint(e *endpoint) {
	if e.state != Gone {
		s.removed = append(s.removed, e)
		s.propagateOutage(e)
	}
	e.state, e.removedAt = Gone, s.now
	s.activate(e.dest)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(x *endpoint) bool { return x == e })
}

// cleanup drops unused endpoints, destinations and order keys, which would otherwise accumulate.
func (s *Sender) cleanup() {
	if s.now < s.cleanupAt {
		return
	}
	s.cleanupAt = s.now + removedRetention/8
	s.removed = slices.DeleteFunc(s.removed, func(e *endpoint) bool {
		if e.state != Gone {
			return true // it is listed again
		}
		if s.now < e.removedAt+removedRetention || e.inFlight > 0 {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
		}
		return true
	})
	used := map[*destination]bool{}
	for _, e := range s.removed {
		used[e.dest] = true
	}
	s.destinationOrder = slices.DeleteFunc(s.destinationOrder, func(d *destination) bool {
		if len(d.endpoints) > 0 || d.messages > 0 || used[d] || s.now < d.lastUsed+idleStateAge {
			return false
		}
		delete(s.destinations, d.id)
		s.timers.set(&d.timer, never)
		return true
	})
	s.idleKeys = slices.DeleteFunc(s.idleKeys, func(key string) bool {
		l := s.keyQueues[key]
		if l != nil && len(l.messages) == 0 && s.now < l.quietUntil {
			return false
		}
		if l != nil && len(l.messages) == 0 {
			delete(s.keyQueues, key)
		}
		return true
	})
}

// destinationFor returns the destination with the given number, and creates it if necessary.
func (s *Sender) destinationFor(id int64) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id, limiter: &limiter{}, lastUsed: s.now, reportedAt: s.now, outageAt: s.now}
		d.limiter.dest = d
		s.destinations[id] = d
		d.timer.dest = d
		s.destinationOrder = append(s.destinationOrder, d)
	}
	return d
}

// kindOf returns the kind of a destination, or the zero Kind if the settings do not have it.
func (s *Sender) kindOf(d *destination) Kind {
	if d.kind >= 0 && d.kind < len(s.settings.Kinds) {
		return s.settings.Kinds[d.kind]
	}
	return Kind{}
}

// worthAt is the worth of m if it is delivered at t; 0 after its deadline.
func (s *Sender) worthAt(m *message, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	c := m.class
	late := float64(t - m.submittedAt - c.Aim)
	switch {
	case late <= 0:
		return c.Worth
	case s.settings.ExponentialDecay:
		return c.Worth * max(c.LateWorth, math.Exp2(-late/float64(max(c.Aim, 1))))
	}
	return c.Worth * (1 - (1-c.LateWorth)*min(1, late/float64(max(c.Deadline-c.Aim, 1))))
}

// destinationRate is the sum of the adaptive rates of a destination's limiters; 0 if one of them has none.
func (s *Sender) destinationRate(d *destination) float64 {
	if !s.kindOf(d).Independent {
		return d.limiter.rate
	}
	sum := 0.0
	for _, e := range d.endpoints {
		if e.limiter.rate == 0 {
			return 0
		}
		sum += e.limiter.rate
	}
	return sum
}

// demand is the messages per second submitted for l since the last outage began, or in the last minutes.
func (s *Sender) demand(l *limiter) float64 {
	own := float64(l.dest.arrivals) / seconds(s.now-l.dest.outageAt+assumedOutage)
	if l != l.dest.limiter {
		own /= float64(max(len(l.dest.endpoints), 1))
	}
	return own
}

// binIndex returns the index in histogram.weights of the bin of a latency.
func binIndex(t Micros) int {
	i, _ := slices.BinarySearch(binEdges[:], t)
	return i
}

// recordLoadReport records the load that an answer reports.
func (s *Sender) recordLoadReport(e *endpoint, load []float64) {
	if e.dest.queued > 0 { // before the answer changes the rate
		s.refillTokens(e.limiter)
	}
	if e.limiter.nearLimit = false; load == nil {
		return
	}
	if i := s.settings.RemainingIndex; i >= 0 && i < len(load) {
		e.limiter.nearLimit = load[i] < nearLimitBelow
	}
	if i := s.settings.LimitIndex; i >= 0 && i < len(load) && load[i] > 0 {
		e.limiter.limit, e.limiter.limitReported = load[i], true
	}
}

// slotsOnTrial is the number of slots occupied by calls to suspected endpoints.
func (s *Sender) slotsOnTrial() (n int) {
	for _, a := range s.inFlight {
		if a.endpoint.suspect {
			n++
		}
	}
	return n
}

func seconds(t Micros) float64 { return float64(t) / float64(Second) } // t as a number of seconds

// removeUnlisted removes the endpoints that are not among the entries.
func (s *Sender) removeUnlisted(entries []Entry) {
	listed := map[EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.Endpoint] = true
	}
	for _, d := range s.destinationOrder {
		for _, e := range slices.Clone(d.endpoints) {
			if !listed[e.id] {
				s.removeEndpoint(e)
			}
		}
	}
}

// pendingRatio is the number of pending messages as a fraction of the pending limit; 0 without a limit.
func (s *Sender) pendingRatio() float64 {
	if s.settings.MaxOpen == 0 {
		return 0
	}
	return float64(s.pending) / float64(s.settings.MaxOpen)
}

// log emits a log line, up to maxLogLines.
func (s *Sender) log(format string, args ...any) {
	if s.logLines++; s.logLines <= maxLogLines {
		s.emit(Log{fmt.Sprintf(format, args...)})
	}
}

// publishHealth emits a HealthChange, if that is enabled.
func (s *Sender) publishHealth(e *endpoint, outage bool) {
	if s.settings.PublishHealth {
		s.emit(HealthChange{Endpoint: e.id, Outage: outage})
	}
}

// hasHealthySibling reports whether another endpoint of e's destination is ready and not suspected.
func (s *Sender) hasHealthySibling(e *endpoint) bool {
	for _, x := range e.dest.endpoints {
		if x != e && !x.suspect && x.state == Ready {
			return true
		}
	}
	return false
}

// handle processes an event.
func (s *Sender) handle(ev Event) {
	switch ev := ev.(type) {
	case Endpoints:
		s.handleList(ev)
	case NewMessage:
		s.acceptMessage(ev)
	case StreamStarted:
		if m := s.messages[ev.ID]; m != nil && m.inFlight != nil && m.inFlight.number == ev.Attempt {
			m.streaming = true
		}
	case AttemptResult:
		s.handleResult(ev)
	case ClientGone:
		if m := s.messages[ev.ID]; m != nil && !m.ended {
			s.closeMessage(m)
			if m.inFlight != nil {
				s.cancelAttempt(m.inFlight)
			}
		}
	case RequestedWait:
		if e := s.endpoints[ev.Endpoint]; e != nil {
			e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+ev.Remaining)
			s.activate(e.dest)
		}
	case PeerHealth:
		if e := s.endpoints[ev.Endpoint]; e != nil {
			if e.trialFactor = max(ev.TrialFactor, 1); ev.Outage || ev.TryNow {
				s.handlePeerHealth(e, ev)
			}
			s.activate(e.dest)
		}
	case UpdateSettings:
		if CheckUpdate(s.settings, ev.Settings) == nil {
			s.applySettings(ev.Settings)
			for _, g := range s.groups {
				s.updateExpiry(g)
				s.activate(g.dest)
			}
		}
	case QuietKey:
		if s.keyQueues[ev.Key] == nil {
			s.keyQueues[ev.Key] = &keyQueue{key: ev.Key}
			s.idleKeys = append(s.idleKeys, ev.Key)
		}
		s.keyQueues[ev.Key].quietUntil = max(s.keyQueues[ev.Key].quietUntil, s.now+ev.Remaining)
	case RestoreState:
		s.restoreState(ev)
	case Stopping:
		s.stopAt = s.now + ev.Remaining
	case TimerFired:
		if s.now >= s.timerAt {
			s.timerAt = 0
		}
	}
}

// usage is the discounted count of a tenant's messages.
type usage struct {
	count     float64 // as of updatedAt
	updatedAt Micros
}
