package netutil

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Classifies each errno of accept(2). Other clients' connections are closed only if this process has no descriptor
// left, or the system has been exhausted for long.
func TestAcceptFailures(t *testing.T) {
	for errno, want := range map[syscall.Errno]AcceptFailure{
		syscall.EMFILE: NoDescriptor, syscall.ENFILE: SystemExhausted, syscall.ENOBUFS: SystemExhausted,
		syscall.ENOMEM:       SystemExhausted,
		syscall.ECONNABORTED: ConnectionAborted, syscall.EINTR: ConnectionAborted, syscall.EPROTO: ConnectionAborted,
		syscall.EPERM:    ConnectionAborted,
		syscall.ENETDOWN: ConnectionAborted, syscall.EHOSTUNREACH: ConnectionAborted, syscall.ETIMEDOUT: ConnectionAborted,
	} {
		err := fmt.Errorf("accept: %w", &net.OpError{Op: "accept", Err: errno})
		if got := ClassifyAcceptError(err); got != want {
			t.Errorf("%v is %v, want %v", errno, got, want)
		}
	}
	if got := ClassifyAcceptError(&net.OpError{Op: "accept", Err: net.ErrClosed}); got != ListenerClosed {
		t.Errorf("a closed listener is %v", got)
	}
}

func TestAcceptBackoff(t *testing.T) {
	var b acceptBackoff
	at := time.Now()
	if pause, release := b.onFailure(ConnectionAborted, at); pause == 0 || pause >= acceptPause || release {
		t.Errorf("after a lost connection: %v, %v", pause, release)
	}
	if pause, release := b.onFailure(NoDescriptor, at); pause == 0 || !release {
		t.Errorf("without descriptors: %v, %v", pause, release)
	}
	for _, x := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {exhaustionTolerance - 1, false}, {exhaustionTolerance, true}} {
		if _, release := b.onFailure(SystemExhausted, at.Add(x.after)); release != x.want {
			t.Errorf("exhausted for %v: release %v", x.after, release)
		}
	}
	b.onSuccess()
	if _, release := b.onFailure(SystemExhausted, at.Add(time.Hour)); release {
		t.Error("a new exhaustion counts from the one before")
	}
}

// failingListener returns the given errors before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// Guards against connections closed or lost for a failed accept: only a lack of descriptors of this process frees one.
func TestAcceptorRetries(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	released := 0
	a := Acceptor{Listener: &failingListener{ln, []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.EINTR,
		syscall.ENOBUFS, syscall.EMFILE}},
		Release: func() { released++ }}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if released != 1 {
		t.Errorf("%d descriptors were freed, want the one for EMFILE", released)
	}
	ln.Close()
	if _, err := a.Accept(); ClassifyAcceptError(err) != ListenerClosed {
		t.Errorf("after the close: %v", err)
	}
}

// Guards against a reset of connections that are established and queued, but not accepted, when the listener is to be
// closed.
func TestDrainAcceptsQueued(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const queued = 20
	for range queued {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	a := &Acceptor{Listener: ln}
	a.Drain()
	n := 0
	for ; ; n++ {
		conn, err := a.Accept()
		if err != nil {
			break
		}
		conn.Close()
	}
	if n != queued {
		t.Errorf("%d of %d queued connections were accepted", n, queued)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}
