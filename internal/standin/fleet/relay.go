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
	maxDelayed  = 20_000          // delayed datagrams of a fleet; more are lost, yet count as forwarded
	maxStreams  = 1024            // open streams per relay; further ones are reset
	dialTimeout = 2 * time.Second // for the connection of a relay to its sender
)

// relay is the address at which the others reach one sender. It identifies the source of a datagram
// or stream by its address and forwards from the relay address of that source, so that a response
// passes through a relay too.
type relay struct {
	net      *network
	receiver int    // number of the sender behind the relay
	addr     string // address of the relay, for datagrams and streams
	target   string // listen address of the sender behind it

	udp     *net.UDPConn // open until the network closes, also while the sender is not running
	mu      sync.Mutex   // guards ln and streams
	ln      net.Listener // nil while the sender is not running
	streams int          // streams that are open now
}

// network holds the relays of a fleet and the links between its senders.
type network struct {
	relays       []*relay       // by number of the sender behind them
	links        [][]*link      // by source and destination
	senderByHost map[string]int // sender number by the host of its listen address
	udpTargets   []*net.UDPAddr // listen addresses by sender number
	delayed      atomic.Int64   // datagrams that wait for their delay to pass
	done         chan struct{}  // closed by close
	wg           sync.WaitGroup // goroutines that accept and forward
}

// newNetwork opens a relay for each sender: the relay at address relays[i] forwards to targets[i].
// seed determines the random faults of the links.
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

// close closes all relays and their streams and waits for their goroutines.
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

// senderOf returns the number of the sender with a source address; false for an address that is none
// of the senders'.
func (n *network) senderOf(addr net.Addr) (int, bool) {
	host, _, err := net.SplitHostPort(addr.String())
	i, ok := n.senderByHost[host]
	return i, ok && err == nil
}

// forwardDatagrams forwards datagrams until the relay is closed, with the faults of the link from
// their sender. Those from unknown addresses are sent without faults from the address of the relay
// itself.
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

// listen accepts streams; it does nothing if the relay already does. Without a listener the kernel
// refuses connections, as for a process that is not running.
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

// stopListening closes the listener, so that new streams are refused. Open streams stay open.
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

// closeWithNetwork closes connections when the network closes, unless stop has been called before.
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

// forward copies one direction of a stream with the faults of its link, until the source ends the
// stream, either connection fails or the link is reset.
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
