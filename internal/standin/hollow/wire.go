package hollow

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cometrack/internal/cluster"
)

const sendersPerOctet = 250 // sender addresses that differ in the last octet only

// network is the links between directed pairs of senders. A datagram on a cut link is lost after it
// was counted as sent; a stream waits for an answer until it times out.
type network struct {
	base   string        // first two octets of all addresses: "127.X"
	counts []counter     // by sender
	cuts   []atomic.Bool // index: from*senders+to
}

// newNetwork returns a network without cut links. base is the first two octets of the addresses.
func newNetwork(base string, senders int) *network {
	return &network{base: base, counts: make([]counter, senders), cuts: make([]atomic.Bool, senders*senders)}
}

// addr returns the listen address of sender i.
func (w *network) addr(i int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.base, 1+i/sendersPerOctet, 1+i%sendersPerOctet, clusterPort)
}

// senderAt returns the sender with an address; -1 if there is none.
func (w *network) senderAt(ip net.IP) int {
	b := ip.To4()
	if b == nil || b[2] == 0 || b[3] == 0 {
		return -1
	}
	if i := (int(b[2])-1)*sendersPerOctet + int(b[3]) - 1; i < len(w.counts) {
		return i
	}
	return -1
}

// isCut reports whether the link from one sender to another is cut. A link to or from -1,
// an address without a sender, is cut.
func (w *network) isCut(from, to int) bool {
	return from < 0 || to < 0 || w.cuts[from*len(w.counts)+to].Load()
}

// cut cuts or restores the link from one sender to another.
func (w *network) cut(from, to int, cut bool) { w.cuts[from*len(w.counts)+to].Store(cut) }

// hooks returns the hooks of sender i into its clock and sockets.
func (w *network) hooks(i int, now func() time.Duration) *cluster.Hooks {
	return &cluster.Hooks{Now: now,
		WrapUDP: func(u *net.UDPConn) cluster.DatagramConn { return &socket{u, w, i} },
		Dial:    func(d *net.Dialer, addr string) (net.Conn, error) { return w.dial(d, i, addr) }}
}

// socket is the datagram socket of a sender.
type socket struct {
	*net.UDPConn
	network *network
	sender  int // index of its owner
}

// ReadFromUDP counts the datagrams received.
func (s *socket) ReadFromUDP(b []byte) (int, *net.UDPAddr, error) {
	n, from, err := s.UDPConn.ReadFromUDP(b)
	if err == nil {
		s.network.counts[s.sender].received(n)
	}
	return n, from, err
}

// WriteToUDP counts the datagrams sent and drops those on a cut link.
func (s *socket) WriteToUDP(b []byte, to *net.UDPAddr) (int, error) {
	s.network.counts[s.sender].sent(b)
	if s.network.isCut(s.sender, s.network.senderAt(to.IP)) {
		return len(b), nil
	}
	return s.UDPConn.WriteToUDP(b, to)
}

// dial opens the stream of a probe. If either direction is cut it fails after the timeout of the
// dialer.
func (w *network) dial(d *net.Dialer, from int, addr string) (net.Conn, error) {
	w.counts[from].probes.Add(1)
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	to := w.senderAt(at.IP)
	if w.isCut(from, to) || w.isCut(to, from) {
		late := time.NewTimer(d.Timeout)
		defer late.Stop()
		<-late.C
		return nil, os.ErrDeadlineExceeded
	}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stream{c, &w.counts[from], &w.counts[to]}, nil
}

// stream counts the bytes of a probe at both ends.
type stream struct {
	net.Conn
	own, other *counter // of the sender that dialed, and of the one that accepted
}

// Read counts the bytes of an answer.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.own.bytesIn.Add(int64(n))
	s.other.bytesOut.Add(int64(n))
	return n, err
}

// Write counts the bytes of a request.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.own.bytesOut.Add(int64(n))
	s.other.bytesIn.Add(int64(n))
	return n, err
}
