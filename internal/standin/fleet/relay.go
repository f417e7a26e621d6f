package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDelayed  = 20_000 // delayed datagrams of a fleet; further ones are lost
	maxStreams  = 1024   // per relay
	dialTimeout = 2 * time.Second
)

// relay is the address at which the others reach one sender. It identifies the source of a datagram
// or stream by its address and forwards from the relay address of that source, so that a response
// passes through a relay too.
type relay struct {
	net      *network
	receiver int // number of the sender behind the relay
	addr     string
	target   string

	udp     *net.UDPConn
	mu      sync.Mutex
	ln      net.Listener // nil while the sender is not running
	streams int
}

// network holds the relays of a fleet and the links between its senders.
type network struct {
	relays       []*relay
	links        [][]*link // by source and destination
	senderByHost map[string]int
	udpTargets   []*net.UDPAddr
	delayed      atomic.Int64
	done         chan struct{}
	wg           sync.WaitGroup
}

// newNetwork opens a relay for each sender: relays[i] forwards to targets[i].
func newNetwork(relays, targets []string, seed uint64) (*network, error) {
	n := &network{senderByHost: map[string]int{}, done: make(chan struct{})}
	for i := range relays {
		row := make([]*link, len(relays))
		for k := range row {
			row[k] = newLink(seed, i, k)
		}
		n.links = append(n.links, row)
		host, _, err := net.SplitHostPort(targets[i])
		if err != nil {
			return nil, err
		}
		to, err := net.ResolveUDPAddr("udp", targets[i])
		if err != nil {
			return nil, err
		}
		n.senderByHost[host], n.udpTargets = i, append(n.udpTargets, to)
		n.relays = append(n.relays, &relay{net: n, receiver: i, addr: relays[i], target: targets[i]})
	}
	for _, r := range n.relays {
		at, err := net.ResolveUDPAddr("udp", r.addr)
		if err == nil {
			r.udp, err = net.ListenUDP("udp", at)
		}
		if err == nil {
			err = r.listen()
		}
		if err != nil {
			n.close()
			return nil, err
		}
		r.udp.SetReadBuffer(4 << 20)
	}
	for _, r := range n.relays {
		n.wg.Go(r.forwardDatagrams)
	}
	return n, nil
}

func (n *network) close() {
	close(n.done)
	for _, r := range n.relays {
		if r.udp != nil {
			r.udp.Close()
		}
		r.stopListening()
	}
	n.wg.Wait()
}

// senderOf returns the sender with a source address; false for an unknown address.
func (n *network) senderOf(addr net.Addr) (int, bool) {
	host, _, err := net.SplitHostPort(addr.String())
	i, ok := n.senderByHost[host]
	return i, ok && err == nil
}

// forwardDatagrams forwards datagrams. Those from unknown addresses are sent from the address of
// the relay itself.
func (r *relay) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		size, src, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the kernel reports an earlier datagram that was not delivered
		}
		out, delays := r.udp, []time.Duration{0}
		if i, ok := r.net.senderOf(src); ok {
			out, delays = r.net.relays[i].udp, r.net.links[i][r.receiver].delays(size)
		}
		for _, d := range delays {
			if d == 0 {
				out.WriteToUDP(buf[:size], r.net.udpTargets[r.receiver])
				continue
			}
			if r.net.delayed.Add(1) > maxDelayed {
				r.net.delayed.Add(-1)
				continue
			}
			copied := append([]byte(nil), buf[:size]...)
			time.AfterFunc(d, func() {
				r.net.delayed.Add(-1)
				out.WriteToUDP(copied, r.net.udpTargets[r.receiver])
			})
		}
	}
}

// listen accepts streams. Without a listener the kernel refuses connections, as for a process that
// is not running.
func (r *relay) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.ln = ln
	r.net.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.net.wg.Go(func() { r.forwardStream(c) })
		}
	})
	return nil
}

func (r *relay) stopListening() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// forwardStream connects a caller with the sender. While either direction is cut no connection can
// be made: the bytes of the caller are discarded until it gives up.
func (r *relay) forwardStream(c net.Conn) {
	r.mu.Lock()
	r.streams++
	tooMany := r.streams > maxStreams
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.streams--
		r.mu.Unlock()
	}()
	if tooMany {
		abort(c)
		return
	}
	var outbound, inbound *link
	d := net.Dialer{Timeout: dialTimeout}
	if i, ok := r.net.senderOf(c.RemoteAddr()); ok {
		outbound, inbound = r.net.links[i][r.receiver], r.net.links[r.receiver][i]
		host, _, _ := net.SplitHostPort(r.net.relays[i].addr)
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	} else {
		outbound, inbound = &link{}, &link{}
	}
	if outbound.get().Cut || inbound.get().Cut {
		stop := r.closeWithNetwork(c)
		io.Copy(io.Discard, c)
		stop()
		c.Close()
		return
	}
	s, err := d.Dial("tcp", r.target)
	if err != nil {
		abort(c)
		return
	}
	var both sync.WaitGroup
	stop := r.closeWithNetwork(c, s)
	both.Go(func() { forward(s, c, outbound) })
	both.Go(func() { forward(c, s, inbound) })
	both.Wait()
	stop()
	c.Close()
	s.Close()
}

// closeWithNetwork closes connections when the network closes, until stop is called.
func (r *relay) closeWithNetwork(conns ...net.Conn) (stop func()) {
	finished := make(chan struct{})
	go func() {
		select {
		case <-r.net.done:
			for _, c := range conns {
				c.Close()
			}
		case <-finished:
		}
	}()
	return sync.OnceFunc(func() { close(finished) })
}

// forward copies one direction of a stream with the faults of its link.
func forward(dst, src net.Conn, l *link) {
	buf := make([]byte, 16<<10)
	resets, forwarded := l.resetCount(), 0
	resetPoll := 50 * time.Millisecond // delay until a reset is noticed
	for {
		src.SetReadDeadline(time.Now().Add(resetPoll))
		n, err := src.Read(buf)
		if l.resetCount() != resets {
			abort(src)
			abort(dst)
			return
		}
		f := l.get()
		piece := buf[:n]
		if f.Cut {
			piece = nil // discarded; both connections stay open
		} else if f.CutAfter > 0 {
			piece = piece[:min(n, max(f.CutAfter-forwarded, 0))]
		}
		if len(piece) > 0 {
			if f.Rate > 0 {
				time.Sleep(time.Duration(len(piece)) * time.Second / time.Duration(f.Rate))
			}
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			if _, err := dst.Write(piece); err != nil {
				abort(src)
				return
			}
			forwarded += len(piece)
		}
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
		case errors.Is(err, io.EOF):
			if !f.Cut {
				if tcp, ok := dst.(*net.TCPConn); ok {
					tcp.CloseWrite()
				}
			}
			return
		case err != nil:
			abort(dst)
			return
		}
	}
}
