package cluster

import (
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"time"
)

// lone opens a sender with no guard, at an address of its own, and waits until its
// loop runs.
func lone(t *testing.T) *Cluster {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	c, err := Open(Options{Name: "a", Listen: addr, MaxSenders: 2, MinShareTotal: 0.1, Lease: 3 * time.Second, Interval: 300 * time.Millisecond, MaxClockDrift: 0.01, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Status(); err != nil {
		t.Fatal(err)
	}
	return c
}

func call(t *testing.T, c *Cluster) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", c.opts.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.TCPConn)
}

// A probe that is under way while the sender is closed gets an answer about no life.
func TestProbeAtClose(t *testing.T) {
	c := lone(t)
	b, err := keys{}.pack(ask{Nonce: 7, ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	frame := append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...)
	conn := call(t, c)
	other := call(t, c) // once this is answered the one before has been taken on too
	other.Write(frame)
	var a answer
	if err := readFrame(other, nil, &a); err != nil || a.ID == 0 {
		t.Fatalf("%+v, %v", a, err)
	}
	conn.Write(frame[:5])
	c.Close()
	conn.Write(frame[5:])
	a = answer{}
	if err := readFrame(conn, nil, &a); err != nil {
		t.Fatal(err)
	}
	if a.Nonce != 7 || a.ID != 0 || a.Over {
		t.Errorf("answered %+v", a)
	}
}

// However many probes break off, from whichever ports, they are one reason.
func TestBrokenProbesAreOneReason(t *testing.T) {
	c := lone(t)
	defer c.Close()
	const probes = 5
	for i := range probes {
		conn := call(t, c)
		conn.Write([]byte{0, 9, 'c'})
		if i%2 == 0 {
			conn.SetLinger(0) // a reset
		}
		conn.Close()
	}
	for stop := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		d := c.Dropped()
		if d[errBroken.Error()] == probes && len(d) == 1 {
			return
		}
		if time.Now().After(stop) {
			t.Fatalf("dropped %v", d)
		}
	}
}
