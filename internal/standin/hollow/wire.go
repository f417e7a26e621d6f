package hollow

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"cometrack/internal/cluster"
)

const perOctet = 250 // addresses that differ in the last octet only

// wire is the links between directed pairs of senders: a datagram on one that is cut
// is lost after it was sent, and a stream waits for an answer that does not come.
type wire struct {
	base   string // "127.X"
	counts []counter
	cuts   []atomic.Bool // by from*senders+to
}

func newWire(base string, senders int) *wire {
	return &wire{base: base, counts: make([]counter, senders), cuts: make([]atomic.Bool, senders*senders)}
}

// addr is where sender i listens.
func (w *wire) addr(i int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.base, 1+i/perOctet, 1+i%perOctet, clusterPort)
}

// owner is the sender of an address; -1 for none.
func (w *wire) owner(ip net.IP) int {
	b := ip.To4()
	if b == nil || b[2] == 0 || b[3] == 0 {
		return -1
	}
	if i := (int(b[2])-1)*perOctet + int(b[3]) - 1; i < len(w.counts) {
		return i
	}
	return -1
}

func (w *wire) isCut(from, to int) bool {
	return from < 0 || to < 0 || w.cuts[from*len(w.counts)+to].Load()
}

func (w *wire) cut(from, to int, cut bool) { w.cuts[from*len(w.counts)+to].Store(cut) }

// rig is what stands between sender i and the machine.
func (w *wire) rig(i int, now func() time.Duration) *cluster.Hooks {
	return &cluster.Hooks{Now: now,
		WrapUDP: func(u *net.UDPConn) cluster.DatagramConn { return &socket{u, w, i} },
		Dial:    func(d *net.Dialer, addr string) (net.Conn, error) { return w.dial(d, i, addr) }}
}

// socket is the socket of a sender's datagrams.
type socket struct {
	*net.UDPConn
	wire *wire
	who  int
}

// ReadFromUDP counts what comes.
func (s *socket) ReadFromUDP(b []byte) (int, *net.UDPAddr, error) {
	n, from, err := s.UDPConn.ReadFromUDP(b)
	if err == nil {
		s.wire.counts[s.who].took(n)
	}
	return n, from, err
}

// WriteToUDP counts what goes, and loses it if the link is cut.
func (s *socket) WriteToUDP(b []byte, to *net.UDPAddr) (int, error) {
	s.wire.counts[s.who].sent(b)
	if s.wire.isCut(s.who, s.wire.owner(to.IP)) {
		return len(b), nil
	}
	return s.UDPConn.WriteToUDP(b, to)
}

// dial opens the stream of a probe; where either direction is cut it takes as long as
// the dialer waits, and fails.
func (w *wire) dial(d *net.Dialer, from int, addr string) (net.Conn, error) {
	w.counts[from].probes.Add(1)
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	to := w.owner(at.IP)
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

// stream counts what a probe carries, at both of its ends.
type stream struct {
	net.Conn
	own, other *counter
}

// Read counts an answer.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.own.inBytes.Add(int64(n))
	s.other.outBytes.Add(int64(n))
	return n, err
}

// Write counts a question.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.own.outBytes.Add(int64(n))
	s.other.inBytes.Add(int64(n))
	return n, err
}
