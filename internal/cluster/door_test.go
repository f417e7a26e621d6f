package cluster

import (
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"time"
)

// openSingle starts a sender without a guard at a free address, and waits until its loop runs.
func openSingle(t *testing.T) *Cluster {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	c, err := Open(Options{Name: "a", Listen: addr, MaxSenders: 2, MinShareTotal: 0.1,
		Lease: 3 * time.Second, Interval: 300 * time.Millisecond, MaxClockDrift: 0.01, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Status(); err != nil {
		t.Fatal(err)
	}
	return c
}

// dialCluster connects to the probe server of a sender.
func dialCluster(t *testing.T, c *Cluster) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", c.opts.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.TCPConn)
}

// Guards against a crash on the unmapped liveness page when a sender is closed while it reads a probe.
// The response then names no incarnation.
func TestProbeAtClose(t *testing.T) {
	c := openSingle(t)
	request, err := keys{}.packView(probeRequest{Nonce: 7, ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	frame := append(binary.BigEndian.AppendUint16(nil, uint16(len(request))), request...)
	conn := dialCluster(t, c)
	other := dialCluster(t, c) // its response shows that the connection before was accepted too
	other.Write(frame)
	var response probeResponse
	if err := readFrame(other, nil, &response); err != nil || response.ID == 0 {
		t.Fatalf("%+v, %v", response, err)
	}
	conn.Write(frame[:5])
	c.Close()
	conn.Write(frame[5:])
	response = probeResponse{}
	if err := readFrame(conn, nil, &response); err != nil {
		t.Fatal(err)
	}
	if response.Nonce != 7 || response.ID != 0 || response.Ended {
		t.Errorf("response %+v, want nonce 7 and no incarnation", response)
	}
}

// Guards against a counter per address: aborted probes are counted under one reason, whatever port they
// come from and however they break off.
func TestAbortedProbesHaveOneReason(t *testing.T) {
	c := openSingle(t)
	defer c.Close()
	const probes = 5
	for i := range probes {
		conn := dialCluster(t, c)
		conn.Write([]byte{0, 9, 'c'})
		if i%2 == 0 {
			conn.SetLinger(0) // a reset
		}
		conn.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		dropped := c.Dropped()
		if dropped[errProbeAborted.Error()] == probes && len(dropped) == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("dropped %v", dropped)
		}
	}
}
