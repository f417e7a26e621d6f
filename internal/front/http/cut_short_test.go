package httpfront

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
)

// makeSlow makes a request that has arrived in part begin a second earlier. It reports whether there is one, all of whose
// bytes have been read, and which has a slot if it is large.
func (cs *connections) makeSlow(large bool) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c, x := range cs.conns {
		if x.receiving && !x.lastRead.IsZero() && x.hasSlot == large && !x.hasUnreadBytes(c) {
			x.beganAt = x.beganAt.Add(-time.Second)
			return true
		}
	}
	return false
}

// Guards against a request without a response: its connection is closed to make room, or to free a slot for a large body,
// while a part of it has arrived, and the last byte is written before the client sees the close.
func TestRequestThatIsCutShort(t *testing.T) {
	post := func(fields string) string {
		return "POST /v1/messages?partner=p&class=c HTTP/1.1\r\nHost: h\r\n" + fields
	}
	large := post(fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*smallBodyBytes)) + strings.Repeat("x", 2*smallBodyBytes)
	for name, x := range map[string]struct {
		text  string
		large bool
		cut   func(*connections)
	}{
		"head":       {post("Content-Length: 1\r\n\r"), false, (*connections).releaseDescriptor},
		"body":       {post("Content-Length: 4\r\n\r\nbod"), false, (*connections).releaseDescriptor},
		"large body": {large[:len(large)-1], true, (*connections).closeSlowLarge},
	} {
		t.Run(name, func(t *testing.T) {
			backend := &fakeCore{submitted: make(chan *message.Message, 1)}
			f, base := newFront(t, backend)
			c := dialRaw(t, base, x.text)
			byhand.WaitUntil(t, "part of a request", func() bool { return f.connections.makeSlow(x.large) })
			x.cut(f.connections)
			io.WriteString(c, "\n")
			got, _ := io.ReadAll(c)
			if string(got) != unavailableResponse {
				t.Errorf("got %q", got)
			}
			if len(backend.submitted) > 0 {
				t.Error("submitted though it was answered as not")
			}
		})
	}
}

// Guards against a message that is submitted though its client has been told that its request was cut short: the body is
// read just as its connection is closed.
func TestBodyReadAsItsConnectionIsClosed(t *testing.T) {
	cs := newConnections(1)
	c, _ := net.Pipe()
	cs.add(c)
	cs.trackState(c, 0)
	cs.noteRead(c)
	if !cs.setBodyReceived(c) {
		t.Error("a body that is complete is refused")
	}
	cs.conns[c].executing, cs.conns[c].receiving = false, true
	cs.conns[c].idleSince = time.Now().Add(-time.Second)
	cs.releaseDescriptor()
	if cs.setBodyReceived(c) {
		t.Error("a body is accepted whose connection was closed")
	}
}

// Guards against a front that stands still: a head arrives on a connection just as it is closed to make room, and each
// side waits for the other's lock.
func TestCutShortAsItsHeadArrives(t *testing.T) {
	const rounds = 2000
	ours, theirs := net.Pipe()
	go io.Copy(io.Discard, theirs)
	cs := newConnections(1)
	c := &clientConn{Conn: ours, connections: cs, heads: newHeadLimiter(1 << 20)}
	c.plain.Store(true)
	cs.add(c)
	done := make(chan bool, 2)
	go func() {
		for range rounds {
			c.countHead(headEnd)
			c.expectHead()
		}
		done <- true
	}()
	go func() {
		for range rounds {
			cs.mu.Lock()
			writeUnavailable(c)
			cs.mu.Unlock()
		}
		done <- true
	}()
	byhand.Await(t, done, "end of the first")
	byhand.Await(t, done, "end of the second")
	ours.Close()
}
