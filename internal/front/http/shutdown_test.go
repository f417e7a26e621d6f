package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
)

// deferredCore leaves the responses to submitted messages to the test.
type deferredCore struct {
	fakeCore
	submitted chan chan<- core.SubmitResponse
}

func (l *deferredCore) Submit(_ *message.Message, result chan<- core.SubmitResponse) {
	l.submitted <- result
}

// serveDeferred starts a front whose responses the test gives.
func serveDeferred(t *testing.T) (*Front, *deferredCore) {
	t.Helper()
	c := &deferredCore{submitted: make(chan chan<- core.SubmitResponse, 1)}
	f, _ := newFront(t, &c.fakeCore)
	f.core = c
	return f, c
}

// postRaw submits a message and returns the status line of the response, or the error that ended the connection.
func postRaw(t *testing.T, f *Front) <-chan string {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(byhand.Timeout))
	fmt.Fprint(conn, "POST /v1/messages?partner=p&class=c HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	got := make(chan string, 1)
	go func() {
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			line = err.Error()
		}
		got <- line
	}()
	return got
}

// Guards against a connection closed before the response to a request that was read: Shutdown waits for the response
// even if the process stalls for 0.15 s.
func TestShutdownWaitsForResponses(t *testing.T) {
	f, c := serveDeferred(t)
	got := postRaw(t, f)
	result := byhand.Await(t, c.submitted, "request")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Shutdown(ctx, true)
	}()
	select {
	case <-done:
		t.Error("the front is shut down with a request unanswered")
	case <-time.After(permit.MaxStall):
	}
	result <- core.SubmitResponse{Status: core.Stopped}
	if line := byhand.Await(t, got, "response"); !strings.Contains(line, fmt.Sprint(http.StatusServiceUnavailable)) {
		t.Errorf("response %q", line)
	}
	<-done
}

// Guards against a reset of a connection that was queued with its request when the listener closed: it is served.
func TestDrainAcceptsQueued(t *testing.T) {
	c := &deferredCore{submitted: make(chan chan<- core.SubmitResponse, 1)}
	f := New(c, Options{Listen: "127.0.0.1:0", MaxConnections: 4, Stream: NewStream(1), Log: slog.New(slog.DiscardHandler),
		DefaultDeadline: func(string) (time.Duration, bool) { return time.Minute, true }})
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	f.ln = gatedListener{f.ln, make(chan struct{})}
	go f.Serve()
	byhand.WaitUntil(t, "service", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.acceptor != nil
	})
	got := postRaw(t, f)
	f.CloseListener()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Shutdown(context.Background(), true)
	}()
	close(f.ln.(gatedListener).proceed)
	select {
	case result := <-c.submitted:
		result <- core.SubmitResponse{}
	case line := <-got:
		t.Fatalf("the request ended with %q", line)
	}
	if line := byhand.Await(t, got, "response"); !strings.Contains(line, fmt.Sprint(http.StatusAccepted)) {
		t.Errorf("response %q", line)
	}
	<-done
}

// gatedListener accepts nothing until proceed is closed.
type gatedListener struct {
	net.Listener
	proceed chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.proceed
	return l.Listener.Accept()
}

func (l gatedListener) SetDeadline(at time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(at)
}
