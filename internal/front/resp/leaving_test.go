package resp

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
)

// pausedCore accepts messages, and gives its responses only while it is not paused. It records what it gets.
type pausedCore struct {
	acceptingCore
	mu        sync.Mutex
	paused    bool
	waiting   []chan<- core.SubmitResponse
	submitted []string
	withdrawn map[string]bool
	mayBeRead map[string]bool // of the messages that were withdrawn
}

func (c *pausedCore) Submit(m *message.Message, result chan<- core.SubmitResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.submitted = append(c.submitted, m.ID); c.paused {
		c.waiting = append(c.waiting, result)
		return
	}
	result <- core.SubmitResponse{}
}

func (c *pausedCore) withdraw(id string, mayBeRead bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[id] = true
	c.mayBeRead[id] = mayBeRead
	return true
}

// resume gives the responses that wait, and all later ones at once.
func (c *pausedCore) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = false
	for _, result := range c.waiting {
		result <- core.SubmitResponse{}
	}
}

// counts returns how many messages were submitted and withdrawn.
func (c *pausedCore) counts() (submitted, withdrawn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.submitted), len(c.withdrawn)
}

// servePaused starts a front with a paused core.
func servePaused(t *testing.T, paused bool) (*Front, *pausedCore) {
	t.Helper()
	c := &pausedCore{paused: paused, withdrawn: map[string]bool{}, mayBeRead: map[string]bool{}}
	f := serve(t, Options{Withdraw: c.withdraw})
	f.core = c
	return f, c
}

// puts returns the text of so many requests, each with a message of its own.
func puts(count int) string {
	var text strings.Builder
	for i := range count {
		fields := []string{"MSG.PUT", "0", fmt.Sprint("m", i), "c=unsafe,d=8000,dest=1", "body"}
		fmt.Fprintf(&text, "*%d\r\n", len(fields))
		for _, field := range fields {
			fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(field), field)
		}
	}
	return text.String()
}

// awaitNoSessions waits until the front has no connection left.
func awaitNoSessions(t *testing.T, f *Front) {
	t.Helper()
	byhand.WaitUntil(t, "end of the connection", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.sessions) == 0
	})
}

// Guards against requests that are sent on after their client has left: a client pipelines many requests and closes its
// connection while most are unread. Those are not executed, and what had been accepted is withdrawn.
func TestUnreadRequestsOfAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			f, backend := servePaused(t, true)
			c := dial(t, f)
			fmt.Fprint(c.conn, puts(120))
			byhand.WaitUntil(t, "full queue of responses", func() bool {
				submitted, _ := backend.counts()
				return submitted > maxPipelined
			})
			leave(c.conn.(*net.TCPConn))
			backend.resume()
			awaitNoSessions(t, f)
			submitted, withdrawn := backend.counts()
			if submitted > maxPipelined+2 {
				t.Errorf("%d requests were executed, %d may be out at once", submitted, maxPipelined+2)
			}
			if withdrawn != submitted {
				t.Errorf("%d of %d accepted messages were withdrawn", withdrawn, submitted)
			}
		})
	}
}

// Guards against the same once the responses are written: a client that closes with responses unread resets its
// connection, and has not heard of its messages.
func TestUnreadResponsesOfAClientThatLeft(t *testing.T) {
	f, backend := servePaused(t, false)
	c := dial(t, f)
	const count = 5
	fmt.Fprint(c.conn, puts(count))
	byhand.WaitUntil(t, "responses", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			return s.served && s.pending == 0 && s.responses == count
		}
		return false
	})
	c.conn.Close()
	awaitNoSessions(t, f)
	if _, withdrawn := backend.counts(); withdrawn != count {
		t.Errorf("%d of %d messages were withdrawn", withdrawn, count)
	}
}

// A client that has read the response owes nothing more, and its message stays.
func TestHeardMessagesStay(t *testing.T) {
	f, backend := servePaused(t, false)
	c := dial(t, f)
	fmt.Fprint(c.conn, puts(1))
	if got := c.readLine(); got != "+OK" {
		t.Fatal(got)
	}
	c.conn.Close()
	awaitNoSessions(t, f)
	if submitted, withdrawn := backend.counts(); submitted != 1 || withdrawn != 0 {
		t.Errorf("%d submitted, %d withdrawn", submitted, withdrawn)
	}
}

// A client that closes only its side gets a response to each request, and none is executed that is answered as busy.
func TestHalfClosedClientGetsResponses(t *testing.T) {
	f, backend := servePaused(t, true)
	c := dial(t, f)
	const count = 60
	fmt.Fprint(c.conn, puts(count))
	byhand.WaitUntil(t, "full queue of responses", func() bool {
		submitted, _ := backend.counts()
		return submitted > maxPipelined
	})
	c.conn.(*net.TCPConn).CloseWrite()
	byhand.WaitUntil(t, "end of the client's side", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.sessions {
			return s.clientLeft()
		}
		return false
	})
	backend.resume()
	if got := c.readToEOF(); got != strings.Repeat("-BUSY\r\n", count) {
		t.Errorf("responses %q, want %d times busy", got, count)
	}
	if submitted, withdrawn := backend.counts(); submitted != withdrawn {
		t.Errorf("%d submitted, %d withdrawn", submitted, withdrawn)
	}
}

// Guards against a withdrawal that does not say whether the client may have read the response: it may have if the
// response was written before the connection broke.
func TestWithdrawalSaysWhetherTheResponseWasWritten(t *testing.T) {
	for name, paused := range map[string]bool{"written": false, "not written": true} {
		t.Run(name, func(t *testing.T) {
			f, backend := servePaused(t, paused)
			c := dial(t, f)
			fmt.Fprint(c.conn, puts(2))
			byhand.WaitUntil(t, "submissions", func() bool { submitted, _ := backend.counts(); return submitted == 2 })
			if !paused {
				byhand.WaitUntil(t, "responses", func() bool { _, data := netutil.Peek(c.conn); return data })
			}
			c.conn.(*net.TCPConn).SetLinger(0)
			c.conn.Close()
			byhand.WaitUntil(t, "reset", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				for s := range f.sessions {
					return s.clientLeft()
				}
				return true
			})
			backend.resume()
			awaitNoSessions(t, f)
			if len(backend.mayBeRead) != 2 || backend.mayBeRead["m0"] == paused {
				t.Errorf("withdrawn, with whether the client may have read the response: %v", backend.mayBeRead)
			}
		})
	}
}

// endedCore answers each submission as one of a message that had ended in a state.
type endedCore struct {
	acceptingCore
	state string
}

func (c endedCore) Submit(_ *message.Message, result chan<- core.SubmitResponse) {
	result <- core.SubmitResponse{Duplicate: true, EndState: c.state, RetryAfter: 200 * time.Millisecond}
}

// Guards against a client that is told +OK for a message that has ended as returned or failed, and waits for its end:
// its first request had no response, and it has sent it once more.
func TestResponseToRequestOfEndedMessage(t *testing.T) {
	for state, want := range map[string]string{message.Returned: "-BUSY 200", message.Failed: "-ERR failed",
		message.Delivered: "+OK", "": "+OK"} {
		f := serve(t, Options{Withdraw: func(string, bool) bool { return false }})
		f.core = endedCore{state: state}
		if got := dial(t, f).do("MSG.PUT", "0", "id", "c=safe,d=9000,dest=1", "x"); got != want {
			t.Errorf("%q: got %q, want %q", state, got, want)
		}
	}
}

// heldListener accepts connections whose first write is held up until the test releases it.
type heldListener struct {
	net.Listener
	atWrite, release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	once     sync.Once
	listener heldListener
}

func (c *heldConn) Write(b []byte) (int, error) {
	c.once.Do(func() {
		c.listener.atWrite <- struct{}{}
		<-c.listener.release
	})
	return c.TCPConn.Write(b)
}

// Guards against messages that are sent on for a client that has left: the process is held up before it writes the
// responses, and the client ends the connection in order meanwhile, with nothing to read. Its end is seen before the write.
func TestClientLeavesBeforeAHeldUpWrite(t *testing.T) {
	const count = 1
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &pausedCore{withdrawn: map[string]bool{}, mayBeRead: map[string]bool{}}
	f := New(backend, Options{Listen: ln.Addr().String(), MaxConnections: 10, Withdraw: backend.withdraw,
		Log: slog.New(slog.DiscardHandler)})
	held := heldListener{ln, make(chan struct{}, 1), make(chan struct{})}
	f.AdoptListener(held)
	t.Cleanup(f.CloseListener)
	go f.Serve()
	c := dial(t, f)
	fmt.Fprint(c.conn, puts(count))
	byhand.Await(t, held.atWrite, "write")
	var s *session
	f.mu.Lock()
	for s = range f.sessions {
	}
	f.mu.Unlock()
	s.accepted[0].answeredAt = time.Now().Add(-permit.MaxStall) // when it was composed; the writer waits meanwhile
	fmt.Fprint(c.conn, puts(1))                                 // it is read once the client has left, and not executed
	c.conn.Close()
	byhand.WaitUntil(t, "end of the client", func() bool { return s.endedInputAt.Load() != 0 })
	close(held.release)
	awaitNoSessions(t, f)
	if _, withdrawn := backend.counts(); withdrawn != count {
		t.Errorf("%d of %d messages were withdrawn", withdrawn, count)
	}
}
