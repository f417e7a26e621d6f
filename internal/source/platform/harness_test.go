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
	head  = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	row   = `{"instanceId":"s","hostPort":"h:1","zone":"a","cell":1,"lifecycle":"up"}`
	whole = `{"generation":7,"reset":true,"instances":[` + row + `]}`
)

// call is one call for the list, at the stand-in's end of a pipe.
type call struct {
	conn net.Conn
	url  string
	at   time.Duration // since the start
}

func (c call) write(text string) { io.WriteString(c.conn, text) }

// hold is how long a call may wait.
func (c call) hold() time.Duration {
	u, _ := url.Parse(c.url)
	ms, _ := strconv.Atoi(u.Query().Get("hold_ms"))
	return time.Duration(ms) * time.Millisecond
}

// whole says whether the whole list is asked for.
func (c call) whole() bool { return !strings.Contains(c.url, "from=") }

func reply(c call, body string) {
	c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// fate is how a call for the list goes wrong.
type fate struct {
	name   string
	dial   func(context.Context) error // fails the connection; nil if it comes up
	answer func(call)                  // nil for no answer
	silent bool                        // a watch does not show that it is lost
	held   time.Duration               // a watch that waits for news is as good as answered until then
}

var fates = []fate{
	{name: "refused", dial: func(context.Context) error { return errors.New("connection refused") }},
	{name: "never up", dial: func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-time.After(dialTime):
		}
		return &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}},
	{name: "503", answer: func(c call) { c.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n") }},
	{name: "503 after 3 s", held: 3 * time.Second, answer: func(c call) {
		time.Sleep(3 * time.Second)
		c.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
	}},
	{name: "reset", answer: func(c call) { c.conn.Close() }},
	{name: "cut", answer: func(c call) { c.write(head + whole[:40]); c.conn.Close() }},
	{name: "silent", silent: true},
	{name: "silent within", answer: func(c call) { c.write(head + whole[:40]) }},
	{name: "nothing in it", answer: func(c call) { reply(c, `{}`) }}, // older than the list, or none
}

// stage is a discovery in virtual time whose calls meet their fates in order; those behind them are answered.
type stage struct {
	source *Source
	start  time.Time
	news   chan core.EndpointUpdate
	stop   context.CancelFunc

	mu      sync.Mutex
	fates   []fate
	calls   []call
	out     int // calls that are not over
	mostOut int
	before  func(call) // called with each call that has come, before it meets its fate; nil for nothing
}

// newStage begins to follow the list on a stage.
func newStage(t *testing.T, known List, settings poll.Settings, seed uint64, fates []fate) *stage {
	t.Helper()
	s := &stage{start: time.Now(), news: make(chan core.EndpointUpdate, 1024), fates: fates}
	s.source = New(Options{Addr: "agent:1", Known: known, Poll: settings, Seed: seed, Log: slog.New(slog.DiscardHandler)})
	s.source.client.Transport = &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: maxConns, DialContext: s.dial}
	return s
}

// follow begins to follow the list.
func (s *stage) follow(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	s.source.Watch(ctx, func(n core.EndpointUpdate) {
		if s.source.AcceptUpdate(n) {
			s.news <- n
		}
	})
}

// end stops following, and waits until all calls are over.
func (s *stage) end() {
	s.stop()
	time.Sleep(time.Minute)
}

// seen are the calls that have come, how many are out, and the most that were.
func (s *stage) seen() (calls []call, out, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls), s.out, s.mostOut
}

// next is the fate of the next call.
func (s *stage) next() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fates) == 0 {
		return fate{answer: s.serve}
	}
	f := s.fates[0]
	s.fates = s.fates[1:]
	return f
}

// serve answers a call as discovery with the list at generation 7 does.
func (s *stage) serve(c call) {
	if u, _ := url.Parse(c.url); u.Query().Get("from") == "7" {
		time.Sleep(c.hold())
		reply(c, `{"generation":7,"reset":false,"instances":[]}`)
		return
	}
	reply(c, whole)
}

func (s *stage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f := s.next()
	if f.dial != nil {
		return nil, f.dial(ctx)
	}
	here, there := net.Pipe()
	go s.converse(there, f)
	return here, nil
}

// converse reads the call of a connection and has it meet its fate.
func (s *stage) converse(conn net.Conn, f fate) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	c := call{conn, req.URL.String(), time.Since(s.start)}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.out++
	s.mostOut = max(s.mostOut, s.out)
	before := s.before
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.out--
		s.mu.Unlock()
	}()
	if before != nil {
		before(c)
	}
	if f.answer != nil {
		f.answer(c)
	}
	io.Copy(io.Discard, r)
}
