package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/standin/silence"
)

// behavior is how an endpoint treats calls. Only healthy is no fault.
type behavior int

const (
	healthy         behavior = iota // answers 200
	hanging                         // runs calls and answers none
	erring                          // runs calls and answers 500 all the same
	overloaded                      // rejects calls with 503
	rateLimited                     // rejects calls with 429 and a requested wait
	resetting                       // resets connections during calls, before or after they have run
	partialResponse                 // runs calls, writes the first bytes of a response and then stops
	closing                         // answers 200 and closes the connection without announcing it
	slow                            // answers 200 after 40 times the latency of the other endpoints
	behaviorCount                   // number of behaviors
	// requestedWait is the wait that a rateLimited endpoint requests.
	requestedWait = 300 * time.Millisecond
	// meanLatency is the mean time from a call to its response, which is drawn from 0.5 to 1.5 times this.
	meanLatency = 30 * time.Millisecond
)

// behaviorNames has the names of the behaviors in scripts of faults, indexed by behavior.
var behaviorNames = [...]string{"well", "hanging", "erring", "full", "waiting", "resetting", "halfway", "closing", "slow"}

func (b behavior) String() string { return behaviorNames[b] }

// endpoint is a stand-in for one endpoint of a destination. It records the calls that it receives.
type endpoint struct {
	ln      *silence.Listener
	records *Records

	mu       sync.Mutex
	name     string            // instanceId in discovery's list
	dest     int               // number of the destination
	behavior behavior          // towards calls from now on
	rng      *rand.Rand        // draws latencies and variants of the behavior
	conns    map[net.Conn]bool // open connections
}

// newEndpoint returns a healthy endpoint that serves at a loopback port of its own until it is closed. dest
// is the number of its destination; the seed determines its latencies.
func newEndpoint(name string, dest int, records *Records, seed uint64) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, dest: dest, ln: silence.Listen(ln), records: records,
		rng: rand.New(rand.NewPCG(seed, 7)), conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

// set changes the behavior towards calls that arrive from now on.
func (e *endpoint) set(b behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
}

// dropConnections closes or resets all connections, as a middlebox may do.
func (e *endpoint) dropConnections(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if reset {
			resetAtClose(c)
		}
		c.Close()
	}
}

// resetAtClose makes the end of a connection a reset.
func resetAtClose(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
}

// close stops listening and resets all connections.
func (e *endpoint) close() {
	e.ln.Close()
	e.dropConnections(true)
}

// serve accepts connections and serves them until the listener is closed.
func (e *endpoint) serve() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serveConn(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// drawTreatment returns how to treat a call: the behavior, a random number x in [0, 1) that selects a
// variant of it, and the latency before the behavior has its effect.
func (e *endpoint) drawTreatment() (b behavior, x float64, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behavior, e.rng.Float64(), meanLatency/2 + time.Duration(e.rng.Int64N(int64(meanLatency)))
}

// serveConn answers the calls of one connection in turn, until it ends. Calls to another path than /inbox,
// such as probes, get 200 at once and are not recorded.
func (e *endpoint) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		call, id := &Call{At: time.Now(), Endpoint: e.identity(), dest: e.destination()}, req.Header.Get("X-Trace-Id")
		b, x, latency := e.drawTreatment()
		call.Ran = b != overloaded && b != rateLimited && !(b == resetting && x < 0.5)
		if req.URL.Path != "/inbox" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e.records.addCall(id, call.dest, call)
		if !e.answer(c, r, id, call, b, x, latency) {
			return
		}
	}
}

// closedWithin waits up to wait for the end of a connection and reports whether it has ended.
func closedWithin(c net.Conn, r *bufio.Reader, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := r.Peek(1)
	c.SetReadDeadline(time.Time{})
	var t net.Error
	return err != nil && !(asNetError(err, &t) && t.Timeout())
}

// answer answers one call, of the message with an id, according to the behavior b. It first waits for the
// latency, or less if the connection ends before. It records the response or the end of the connection, and
// returns false if the connection has ended or is to be closed.
func (e *endpoint) answer(c net.Conn, r *bufio.Reader, id string, call *Call, b behavior, x float64,
	latency time.Duration) bool {
	ended := func() bool {
		e.records.withLock(func() { call.ClosedAt = time.Now() })
		return false
	}
	reply := func(status int, headers string) bool {
		at, sentBefore := time.Now(), silence.SentBytes(c)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, headers)
		if err != nil {
			return ended()
		}
		if silence.SentBytes(c) == sentBefore { // the sender learns nothing of the response
			closedWithin(c, r, time.Minute)
			return ended()
		}
		e.records.withLock(func() { call.Status, call.AnsweredAt = status, at })
		return true
	}
	if b == slow {
		latency *= 40
	}
	if b == hanging {
		latency = time.Minute
	}
	if closedWithin(c, r, latency) {
		return ended()
	}
	switch b {
	case erring:
		return reply(500, "")
	case overloaded:
		return reply(503, "")
	case rateLimited:
		if silence.IsSilent(c) {
			return reply(429, "")
		}
		e.records.waitRequested(id, call.dest, requestedWait)
		return reply(429, fmt.Sprintf("X-Come-Back-Ms: %d\r\n", requestedWait.Milliseconds()))
	case resetting:
		resetAtClose(c)
		return ended()
	case partialResponse:
		c.Write([]byte("HTTP/1.1 2"))
		closedWithin(c, r, time.Minute)
		return ended()
	case closing:
		reply(200, "")
		return false
	}
	return reply(200, "")
}
