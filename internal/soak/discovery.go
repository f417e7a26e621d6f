package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"cometrack/internal/standin/fate"
	"cometrack/internal/standin/silence"
)

// instance is one endpoint in discovery's list. Its JSON names are those of the platform's protocol.
type instance struct {
	ID        string  `json:"instanceId"` // name of the endpoint
	HostPort  string  `json:"hostPort"`   // address of the endpoint
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int     `json:"cell"`      // number of its destination
	Lifecycle string  `json:"lifecycle"` // "up", or "draining" if it is to get no new calls
	Weight    float64 `json:"weight"`    // nominal rate in calls per second over all senders
}

// instanceList is a response of discovery with its list of endpoints, in the platform's protocol.
type instanceList struct {
	Generation int64      `json:"generation"` // grows by 1 with each published list
	Reset      bool       `json:"reset"`      // the list is complete; false if there is no newer one
	Instances  []instance `json:"instances"`
}

// lifecycles returns the lifecycles of the listed endpoints by name of the endpoint.
func (l instanceList) lifecycles() map[string]string {
	out := map[string]string{}
	for _, x := range l.Instances {
		out[x.ID] = x.Lifecycle
	}
	return out
}

// Limits of discovery. The first two apply to calls for the list under a [discoveryFault]: failureRatio
// fails no more than maxConsecutiveFailures until a list was written to the sender, and with a serviceTime a
// call that has waited for queueTimeout gets 503. The third applies when a sender's discovery moves to
// another address.
const (
	maxConsecutiveFailures = 3                       // of a sender's calls that failureRatio fails in a row
	queueTimeout           = 3 * time.Second         // for a call to be begun, while one is served at a time
	oldAddressGrace        = 1500 * time.Millisecond // from a move until old connections are closed
)

// discoveryFault is the fault that discovery has; the zero value is none.
type discoveryFault struct {
	unavailable  bool          // it answers 503 to all calls
	silent       bool          // it answers no call
	delay        time.Duration // from the time when an answer is due until it is given
	failureRatio float64       // probability that a call fails; limited by maxConsecutiveFailures
	serviceTime  time.Duration // it serves one call at a time, each for this long; 0 for all at once
}

// down reports whether discovery gives no sender a list, as it is unavailable or silent.
func (t discoveryFault) down() bool { return t.unavailable || t.silent }

// discovery is the server of the list for all senders. Each sender calls it at an address of its own.
type discovery struct {
	records *Records
	pushed  bool // it stands in for an agent beside each sender: single calls do not fail, are not queued and are answered at once

	mu                  sync.Mutex
	list                instanceList   // published last
	changed             chan struct{}  // closed and replaced when the list or the fault changes
	fault               discoveryFault // current fault
	rng                 *rand.Rand     // draws the calls that fail
	consecutiveFailures map[int]int    // number of calls for the list that failed in a row, by sender
	worker              chan struct{}  // semaphore of the one call that is served at a time
}

// newDiscovery returns discovery without a fault, with an empty list of generation 0. The seed determines
// which calls fail.
func newDiscovery(records *Records, seed uint64) *discovery {
	return &discovery{records: records, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 11)),
		consecutiveFailures: map[int]int{}, worker: make(chan struct{}, 1)}
}

// publish replaces the list, records that and wakes the calls that wait for a change.
func (d *discovery) publish(l instanceList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = l
	d.records.listPublished(time.Now(), l)
	d.notifyWatchers()
}

// setFault replaces the current fault; the zero value ends it.
func (d *discovery) setFault(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setFaultLocked(fault)
}

// endFault ends the fault ended, unless setFault has replaced it by another.
func (d *discovery) endFault(ended discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault == ended {
		d.setFaultLocked(discoveryFault{})
	}
}

// setFaultLocked replaces the current fault, and records when discovery goes down or is back. The caller
// holds the lock.
func (d *discovery) setFaultLocked(fault discoveryFault) {
	if before := d.fault.down(); before != fault.down() {
		d.records.discoveryDown(time.Now(), fault.down())
	}
	d.fault = fault
	d.notifyWatchers()
}

// notifyWatchers wakes the calls that wait for a change of the list or of the fault. The caller holds the
// lock.
func (d *discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// currentList returns the published list.
func (d *discovery) currentList() instanceList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// state returns the list, a channel that is closed when anything changes, and the fault.
func (d *discovery) state() (instanceList, <-chan struct{}, discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.changed, d.fault
}

// drawFate draws how a sender's call for the list is answered: at once with the list, which is the zero
// value, or in another way of package fate. It is drawn when the call arrives, and once more when the list
// is about to be written. A fate that fails counts as one of the sender's consecutive failures.
func (d *discovery) drawFate(sender int) fate.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushed || d.rng.Float64() >= d.fault.failureRatio || d.consecutiveFailures[sender] >= maxConsecutiveFailures {
		return fate.Response{}
	}
	f := fate.Response{Kind: fate.Kind(1 + d.rng.IntN(int(fate.NumKinds)-1)),
		Delay: time.Duration(500+d.rng.IntN(2500)) * time.Millisecond}
	if !f.Succeeds() {
		d.consecutiveFailures[sender]++
	}
	return f
}

// serveList serves a sender's call for the list. The query has from, the generation that the sender has,
// and hold_ms, the longest time in milliseconds for which the response may wait for a newer one.
func (d *discovery) serveList(sender int, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	hold := time.Duration(ms) * time.Millisecond
	receivedAt := time.Now()
	answered := false
	defer func() {
		if !answered && silence.IsSilent(connectionOf(r)) {
			d.records.callUnanswered(sender, receivedAt, hold)
		}
	}()
	if !d.awaitWorker(w, r) {
		return
	}
	first := d.drawFate(sender)
	if !first.Succeeds() {
		d.failCall(first, sender, receivedAt, hold, w, r)
		return
	}
	list, ok := d.awaitList(w, r, from, receivedAt.Add(hold))
	if !ok {
		return
	}
	if last := d.drawFate(sender); !last.Succeeds() { // the call fails just as the list has changed
		d.failCall(last, sender, receivedAt, hold, w, r)
		return
	}
	if first.Serve(w, r, encode(list)) {
		http.NewResponseController(w).Flush()
		if silence.IsSilent(connectionOf(r)) {
			return
		}
		answered = true
		d.callAnswered(sender)
		d.records.listWritten(sender, time.Now(), list.Generation)
	}
}

// failCall answers a call with the failure f. A call that stays open without a complete response is
// recorded, with the time when it began and its hold.
func (d *discovery) failCall(f fate.Response, sender int, began time.Time, hold time.Duration,
	w http.ResponseWriter, r *http.Request) {
	if f.Kind == fate.NoResponse || f.Kind == fate.Stalled {
		d.records.callUnanswered(sender, began, hold)
	}
	f.Serve(w, r, encode(d.currentList()))
}

// lostCall matches a call for the list in the bytes of a connection, with its hold in milliseconds.
var lostCall = regexp.MustCompile(`^GET /discovery/hosts\?from=[0-9]+&hold_ms=([0-9]+) `)

// recordLostCall records a call for the list if the bytes that were lost on a silent connection are one: the sender
// can't tell it from a call that is held.
func (d *discovery) recordLostCall(sender int, lost []byte) {
	match := lostCall.FindSubmatch(lost)
	if match == nil {
		return
	}
	ms, _ := strconv.Atoi(string(match[1]))
	d.records.callUnanswered(sender, time.Now(), time.Duration(ms)*time.Millisecond)
}

// callAnswered resets the count of a sender's consecutive failures, after a list was written to it.
func (d *discovery) callAnswered(sender int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.consecutiveFailures[sender] = 0
}

// encode returns the JSON text of a list.
func encode(l instanceList) []byte {
	b, _ := json.Marshal(l)
	return b
}

// awaitWorker waits for the one worker of a fault with a service time, and then for that time. It returns
// false if the call has timed out in the queue and got 503, or was canceled; true at once without such a
// fault.
func (d *discovery) awaitWorker(w http.ResponseWriter, r *http.Request) bool {
	_, _, fault := d.state()
	if fault.serviceTime == 0 || d.pushed { // an agent serves one sender only
		return true
	}
	select {
	case d.worker <- struct{}{}:
	case <-time.After(queueTimeout):
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case <-r.Context().Done():
		return false
	}
	time.Sleep(fault.serviceTime)
	<-d.worker
	return true
}

// awaitList waits until the list is newer than generation from, or until by, and returns it; at by without
// entries if it is not newer. It returns false if the call was canceled, or got 503 since discovery is
// unavailable. While discovery is silent, it goes on waiting.
func (d *discovery) awaitList(w http.ResponseWriter, r *http.Request, from int64, by time.Time) (instanceList, bool) {
	for {
		list, changed, fault := d.state()
		if fault.unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return list, false
		}
		remaining := time.Until(by)
		if !fault.silent && (list.Generation > from || remaining <= 0) {
			if !d.pushed {
				time.Sleep(fault.delay)
			}
			if list.Generation <= from {
				list.Instances, list.Reset = nil, false
			}
			return list, true
		}
		if fault.silent {
			remaining = time.Minute
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return list, false
		case <-time.After(remaining):
		}
	}
}

// platformServer serves discovery and the receiver of notices to one sender, at an address of its own.
type platformServer struct {
	addr        string // host and port
	server      *http.Server
	connections *silence.Listener
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connectionOf returns the connection of a request to a platformServer.
func connectionOf(r *http.Request) net.Conn { return r.Context().Value(connectionKey{}).(net.Conn) }

// listen starts to serve the platform at addr to the sender with a number. It returns an error if it can't
// listen there.
func (p *platform) listen(sender int, addr string) (*platformServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", func(w http.ResponseWriter, r *http.Request) { p.discovery.serveList(sender, w, r) })
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	keepConnection := func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	out := &platformServer{addr: addr, server: &http.Server{Handler: mux, ConnContext: keepConnection},
		connections: silence.Listen(ln)}
	out.connections.OnDiscard = func(b []byte) { p.discovery.recordLostCall(sender, b) }
	go out.server.Serve(out.connections)
	return out, nil
}

// retire stops accepting connections at once and closes the open ones after oldAddressGrace, as discovery does
// when it moves.
func (d *platformServer) retire() {
	d.connections.Close()
	time.AfterFunc(oldAddressGrace, func() { d.server.Close() })
}
