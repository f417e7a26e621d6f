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

// later has messages answered by the test.
type later struct {
	scripted
	asked chan chan<- core.SubmitResponse
}

func (l *later) Submit(_ *message.Message, answer chan<- core.SubmitResponse) { l.asked <- answer }

// serveLater starts a front whose answers the test gives.
func serveLater(t *testing.T) (*Front, *later) {
	t.Helper()
	c := &later{asked: make(chan chan<- core.SubmitResponse, 1)}
	f, _ := newFront(t, &c.scripted)
	f.core = c
	return f, c
}

// post hands a message in and tells the status line of the answer, or how the connection ended.
func post(t *testing.T, f *Front) <-chan string {
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

// A request was read, and its connection was cut off as the process ended: the end waits for the answer, though the
// process is held up for 0.15 s.
func TestEndWaitsForAnswers(t *testing.T) {
	f, c := serveLater(t)
	got := post(t, f)
	answer := byhand.Await(t, c.asked, "request")
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
	answer <- core.SubmitResponse{Status: core.Stopped}
	if line := byhand.Await(t, got, "answer"); !strings.Contains(line, fmt.Sprint(http.StatusServiceUnavailable)) {
		t.Errorf("answer %q", line)
	}
	<-done
}

// A connection that waited to be accepted was reset with its request as the listener closed: it is served.
func TestDrainAcceptsWhoWaits(t *testing.T) {
	c := &later{asked: make(chan chan<- core.SubmitResponse, 1)}
	f := New(c, Options{Listen: "127.0.0.1:0", Connections: 4, Stream: NewStream(1), Log: slog.New(slog.DiscardHandler),
		Defaults: func(string) (time.Duration, bool) { return time.Minute, true }})
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	f.ln = lateListener{f.ln, make(chan struct{})}
	go f.Serve()
	byhand.WaitUntil(t, "service", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.acceptor != nil
	})
	got := post(t, f)
	f.CloseListener()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Shutdown(context.Background(), true)
	}()
	close(f.ln.(lateListener).goOn)
	select {
	case answer := <-c.asked:
		answer <- core.SubmitResponse{}
	case line := <-got:
		t.Fatalf("the request ends with %q", line)
	}
	if line := byhand.Await(t, got, "answer"); !strings.Contains(line, fmt.Sprint(http.StatusAccepted)) {
		t.Errorf("answer %q", line)
	}
	<-done
}

// lateListener accepts nothing before it may go on.
type lateListener struct {
	net.Listener
	goOn chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	<-l.goOn
	return l.Listener.Accept()
}

func (l lateListener) SetDeadline(at time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(at)
}
