package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
)

const (
	responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	instance     = `{"instanceId":"s","hostPort":"h:1","zone":"a","cell":1,"lifecycle":"up"}`
	completeList = `{"generation":7,"reset":true,"instances":[` + instance + `]}`
)

// testCall is one call for the list, seen from discovery's end of a pipe.
type testCall struct {
	conn net.Conn
	url  string
	at   time.Duration // since the start of the test
}

func (c testCall) write(text string) { io.WriteString(c.conn, text) }

// hold returns how long discovery may hold the call.
func (c testCall) hold() time.Duration {
	u, _ := url.Parse(c.url)
	ms, _ := strconv.Atoi(u.Query().Get("hold_ms"))
	return time.Duration(ms) * time.Millisecond
}

// complete reports whether the complete list is requested.
func (c testCall) complete() bool { return !strings.Contains(c.url, "from=") }

// reply writes a response with a body.
func reply(c testCall, body string) {
	c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// fault is a way in which a call for the list fails.
type fault struct {
	name    string
	dial    func(context.Context) error // fails the connection; nil if it is established
	respond func(testCall)              // nil for no response
	silent  bool                        // a watch doesn't notice the fault
	heldFor time.Duration               // time a watch is held as usual before the fault
}

var faults = []fault{
	{name: "refused", dial: func(context.Context) error { return errors.New("connection refused") }},
	{name: "never up", dial: func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}},
	{name: "503", respond: func(c testCall) { c.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }},
	{name: "503 after 3 s", heldFor: 3 * time.Second, respond: func(c testCall) {
		time.Sleep(3 * time.Second)
		c.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
	}},
	{name: "reset", respond: func(c testCall) { c.conn.Close() }},
	{name: "cut", respond: func(c testCall) { c.write(responseHead + completeList[:40]); c.conn.Close() }},
	{name: "silent", silent: true},
	{name: "silent within", respond: func(c testCall) { c.write(responseHead + completeList[:40]) }},
	{name: "empty object", respond: func(c testCall) { reply(c, `{}`) }}, // an older generation, or no list
}

// discovery is a stand-in for discovery in virtual time. Its calls get the faults in order; later calls are answered.
type discovery struct {
	source  *Source
	start   time.Time
	updates chan core.EndpointUpdate
	stop    context.CancelFunc

	mu           sync.Mutex
	faults       []fault
	calls        []testCall
	openCalls    int // calls that have not ended
	maxOpenCalls int
	onCall       func(testCall) // called with each call before its fault; may be nil
}

// newDiscovery returns a stand-in with the given faults, and the source that follows it.
func newDiscovery(t *testing.T, known List, settings poll.Settings, seed uint64, faults []fault) *discovery {
	t.Helper()
	s := &discovery{start: time.Now(), updates: make(chan core.EndpointUpdate, 1024), faults: faults}
	s.source = New(Options{Addr: "agent:1", Known: known, Poll: settings, Seed: seed, Log: slog.New(slog.DiscardHandler)})
	s.source.client.Transport = &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: maxConns, DialContext: s.dial}
	return s
}

// follow starts following the list.
func (s *discovery) follow(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	s.source.Watch(ctx, func(u core.EndpointUpdate) {
		if s.source.AcceptUpdate(u) {
			s.updates <- u
		}
	})
}

// end stops following, and waits until all calls have ended.
func (s *discovery) end() {
	s.stop()
	time.Sleep(time.Minute)
}

// seen returns the calls so far, the number of open ones, and the largest number of open ones.
func (s *discovery) seen() (calls []testCall, open, maxOpen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls), s.openCalls, s.maxOpenCalls
}

// nextFault returns the fault of the next call.
func (s *discovery) nextFault() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return fault{respond: s.serve}
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// serve answers a call as discovery does with the list at generation 7.
func (s *discovery) serve(c testCall) {
	if u, _ := url.Parse(c.url); u.Query().Get("from") == "7" {
		time.Sleep(c.hold())
		reply(c, `{"generation":7,"reset":false,"instances":[]}`)
		return
	}
	reply(c, completeList)
}

func (s *discovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f := s.nextFault()
	if f.dial != nil {
		return nil, f.dial(ctx)
	}
	here, there := net.Pipe()
	go s.handleConn(there, f)
	return here, nil
}

// handleConn reads the call of a connection and applies its fault.
func (s *discovery) handleConn(conn net.Conn, f fault) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	c := testCall{conn, req.URL.String(), time.Since(s.start)}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.openCalls++
	s.maxOpenCalls = max(s.maxOpenCalls, s.openCalls)
	onCall := s.onCall
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.openCalls--
		s.mu.Unlock()
	}()
	if onCall != nil {
		onCall(c)
	}
	if f.respond != nil {
		f.respond(c)
	}
	io.Copy(io.Discard, r)
}
