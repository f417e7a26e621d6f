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
)

// behavior is how an endpoint treats calls for a while.
type behavior int

const (
	well         behavior = iota
	hanging               // takes calls and answers none
	erring                // has run the call and answers 500
	full                  // turns away with 503
	waiting               // turns away and tells to wait
	resetting             // breaks connections under calls, before or after they have run
	halfway               // answers in part and goes silent
	closing               // answers and closes the connection without a word
	slow                  // answers late
	behaviors             // their number
	toldWait     = 300 * time.Millisecond
	usualLatency = 30 * time.Millisecond
)

var behaviorNames = [...]string{"well", "hanging", "erring", "full", "waiting", "resetting", "halfway", "closing", "slow"}

func (b behavior) String() string { return behaviorNames[b] }

// endpoint stands for one endpoint of a destination.
type endpoint struct {
	name    string
	dest    int
	ln      net.Listener
	records *Records

	mu    sync.Mutex
	now   behavior
	rng   *rand.Rand
	conns map[net.Conn]bool
}

func newEndpoint(name string, dest int, records *Records, seed uint64) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{name: name, dest: dest, ln: ln, records: records, rng: rand.New(rand.NewPCG(seed, 7)), conns: map[net.Conn]bool{}}
	go e.serve()
	return e, nil
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

func (e *endpoint) set(b behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now = b
}

// dropIdle closes or resets all connections, as a machine between may do.
func (e *endpoint) dropIdle(reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok && reset {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (e *endpoint) close() {
	e.ln.Close()
	e.dropIdle(true)
}

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
			e.converse(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// draw tells how to treat a call, and a number that decides between variants.
func (e *endpoint) draw() (b behavior, x float64, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now, e.rng.Float64(), usualLatency/2 + time.Duration(e.rng.Int64N(int64(usualLatency)))
}

// converse answers the calls of one connection.
func (e *endpoint) converse(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		call, id := &Call{At: time.Now(), Endpoint: e.name}, req.Header.Get("X-Trace-Id")
		b, x, latency := e.draw()
		call.Ran = b != full && b != waiting && !(b == resetting && x < 0.5)
		if req.URL.Path != "/inbox" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e.records.call(id, e.dest, call)
		if !e.answer(c, r, id, call, b, x, latency) {
			return
		}
	}
}

// gone waits for the end of a connection, for so long at most; true if it has ended.
func gone(c net.Conn, r *bufio.Reader, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := r.Peek(1)
	c.SetReadDeadline(time.Time{})
	var t net.Error
	return err != nil && !(asNetError(err, &t) && t.Timeout())
}

// answer treats one call; false ends the connection.
func (e *endpoint) answer(c net.Conn, r *bufio.Reader, id string, call *Call, b behavior, x float64, latency time.Duration) bool {
	ended := func() bool {
		e.records.change(func() { call.ClosedAt = time.Now() })
		return false
	}
	reply := func(status int, more string) bool {
		at := time.Now()
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, more)
		if err != nil {
			return ended()
		}
		e.records.change(func() { call.Status, call.AnsweredAt = status, at })
		return true
	}
	if b == slow {
		latency *= 40
	}
	if b == hanging {
		latency = time.Minute
	}
	if gone(c, r, latency) {
		return ended()
	}
	switch b {
	case erring:
		return reply(500, "")
	case full:
		return reply(503, "")
	case waiting:
		e.records.told(id, e.dest, toldWait)
		return reply(429, fmt.Sprintf("X-Come-Back-Ms: %d\r\n", toldWait.Milliseconds()))
	case resetting:
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return ended()
	case halfway:
		c.Write([]byte("HTTP/1.1 2"))
		gone(c, r, time.Minute)
		return ended()
	case closing:
		reply(200, "")
		return false
	}
	return reply(200, "")
}
