package netutil

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Each errno of accept(2): only a lack of this process's own descriptors, or a long one of the system's, costs another
// client its connection.
func TestAcceptFailures(t *testing.T) {
	for errno, want := range map[syscall.Errno]AcceptFailure{
		syscall.EMFILE: NoDescriptor, syscall.ENFILE: SystemExhausted, syscall.ENOBUFS: SystemExhausted, syscall.ENOMEM: SystemExhausted,
		syscall.ECONNABORTED: ConnectionAborted, syscall.EINTR: ConnectionAborted, syscall.EPROTO: ConnectionAborted, syscall.EPERM: ConnectionAborted,
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
	if pause, release := b.failed(ConnectionAborted, at); pause == 0 || pause >= acceptPause || release {
		t.Errorf("after a lost connection: %v, %v", pause, release)
	}
	if pause, release := b.failed(NoDescriptor, at); pause == 0 || !release {
		t.Errorf("without descriptors: %v, %v", pause, release)
	}
	for _, x := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {shortFor - 1, false}, {shortFor, true}} {
		if _, release := b.failed(SystemExhausted, at.Add(x.after)); release != x.want {
			t.Errorf("short for %v: release %v", x.after, release)
		}
	}
	b.accepted()
	if _, release := b.failed(SystemExhausted, at.Add(time.Hour)); release {
		t.Error("a new shortage counts from the one before")
	}
}

// failingListener fails as it is told before it accepts.
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

// Failures on the way cost no client its connection but where this process has no descriptor left.
func TestAcceptorGoesOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	released := 0
	a := Acceptor{Listener: &failingListener{ln, []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.EINTR, syscall.ENOBUFS, syscall.EMFILE}},
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
		t.Errorf("%d descriptors were given back, want that for EMFILE", released)
	}
	ln.Close()
	if _, err := a.Accept(); ClassifyAcceptError(err) != ListenerClosed {
		t.Errorf("after the end: %v", err)
	}
}

// Connections that were made before a listener is closed are accepted, though nobody has come to that yet.
func TestDrainAcceptsWhoWaits(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 20
	for range waiting {
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
	if n != waiting {
		t.Errorf("%d of %d that waited were accepted", n, waiting)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open still")
	}
}
