package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is a call that an endpoint has received whole.
type call struct {
	endpoint string
	id       string // of the message
	at       time.Time
	status   int  // of the answer; 0 for none
	answered bool // the answer has been written
}

// idleTimeout is how long an endpoint keeps a connection on which nothing comes, as in the settings.
const idleTimeout = 10 * time.Second

// verdict is what an endpoint does with a call.
type verdict struct {
	after  time.Duration // how long it works on it
	status int           // of the answer; 0: it never answers
}

// endpoint is an endpoint of a partner.
type endpoint struct {
	r    *rig
	name string
	ln   net.Listener
	// decide is asked for each call, one at a time.
	decide func(endpoint, id string) verdict

	mu    sync.Mutex
	calls []call
}

// newEndpoint starts an endpoint.
func (r *rig) newEndpoint(name string, decide func(endpoint, id string) verdict) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{r: r, name: name, ln: ln, decide: decide}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// serve answers the calls on a connection, one after the other.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if req.Method == http.MethodGet { // a probe
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := req.Header.Get("X-Trace-Id")
		e.mu.Lock()
		v := e.decide(e.name, id)
		n := len(e.calls)
		e.calls = append(e.calls, call{e.name, id, time.Now(), v.status, false})
		e.mu.Unlock()
		if v.status == 0 {
			e.r.note(e.name, "call with %s, not answered", id)
			conn.SetReadDeadline(time.Time{})
			io.Copy(io.Discard, conn) // until the sender gives it up
			e.r.note(e.name, "call with %s was given up", id)
			return
		}
		e.r.note(e.name, "call with %s, call %d here, to be answered with %d after %v", id, n+1, v.status, v.after)
		time.Sleep(v.after)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", v.status); err != nil {
			return
		}
		e.mu.Lock()
		e.calls[n].answered = true
		e.mu.Unlock()
	}
}

// received returns the calls so far.
func (e *endpoint) received() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]call(nil), e.calls...)
}
