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
	mostHeld    = 20_000 // datagrams under way in a fleet; those above are lost
	mostStreams = 1024   // through one relay
	dialTime    = 2 * time.Second
)

// relay is where the others reach one sender. It tells who sends by the source
// address, and passes on from the relay address of that sender, so that an answer
// goes through a relay too.
type relay struct {
	net  *network
	who  int // whom it leads to
	addr string
	real string

	udp     *net.UDPConn
	mu      sync.Mutex
	ln      net.Listener // nil while nobody is to be reached
	streams int
}

// network is the relays of a fleet and the links between its senders.
type network struct {
	relays []*relay
	links  [][]*link // from, to
	bySrc  map[string]int
	udpTo  []*net.UDPAddr
	held   atomic.Int64
	done   chan struct{}
	wg     sync.WaitGroup
}

// newNetwork opens a relay for each sender: others call relays[i], which leads to
// reals[i].
func newNetwork(relays, reals []string, seed uint64) (*network, error) {
	n := &network{bySrc: map[string]int{}, done: make(chan struct{})}
	for i := range relays {
		row := make([]*link, len(relays))
		for k := range row {
			row[k] = newLink(seed, i, k)
		}
		n.links = append(n.links, row)
		host, _, err := net.SplitHostPort(reals[i])
		if err != nil {
			return nil, err
		}
		to, err := net.ResolveUDPAddr("udp", reals[i])
		if err != nil {
			return nil, err
		}
		n.bySrc[host], n.udpTo = i, append(n.udpTo, to)
		n.relays = append(n.relays, &relay{net: n, who: i, addr: relays[i], real: reals[i]})
	}
	for _, r := range n.relays {
		at, err := net.ResolveUDPAddr("udp", r.addr)
		if err == nil {
			r.udp, err = net.ListenUDP("udp", at)
		}
		if err == nil {
			err = r.up()
		}
		if err != nil {
			n.close()
			return nil, err
		}
		r.udp.SetReadBuffer(4 << 20)
	}
	for _, r := range n.relays {
		n.wg.Go(r.datagrams)
	}
	return n, nil
}

func (n *network) close() {
	close(n.done)
	for _, r := range n.relays {
		if r.udp != nil {
			r.udp.Close()
		}
		r.down()
	}
	n.wg.Wait()
}

// from is the sender behind a source address; false for a stranger.
func (n *network) from(addr net.Addr) (int, bool) {
	host, _, err := net.SplitHostPort(addr.String())
	i, ok := n.bySrc[host]
	return i, ok && err == nil
}

// datagrams passes on what comes. A stranger's come from the relay's own address.
func (r *relay) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		size, src, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the kernel tells of an earlier datagram that nobody took
		}
		out, spans := r.udp, []time.Duration{0}
		if i, ok := r.net.from(src); ok {
			out, spans = r.net.relays[i].udp, r.net.links[i][r.who].copies(size)
		}
		for _, d := range spans {
			if d == 0 {
				out.WriteToUDP(buf[:size], r.net.udpTo[r.who])
				continue
			}
			if r.net.held.Add(1) > mostHeld {
				r.net.held.Add(-1)
				continue
			}
			copied := append([]byte(nil), buf[:size]...)
			time.AfterFunc(d, func() {
				r.net.held.Add(-1)
				out.WriteToUDP(copied, r.net.udpTo[r.who])
			})
		}
	}
}

// up takes streams; while a relay is down its kernel refuses them, as it would for
// a process that is not there.
func (r *relay) up() error {
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
			r.net.wg.Go(func() { r.stream(c) })
		}
	})
	return nil
}

func (r *relay) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
}

// abort ends a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// stream joins a caller to the sender. While either direction is cut no call can
// come about: the caller's bytes are swallowed until it gives up.
func (r *relay) stream(c net.Conn) {
	r.mu.Lock()
	r.streams++
	over := r.streams > mostStreams
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.streams--
		r.mu.Unlock()
	}()
	if over {
		abort(c)
		return
	}
	var to, back *link
	d := net.Dialer{Timeout: dialTime}
	if i, ok := r.net.from(c.RemoteAddr()); ok {
		to, back = r.net.links[i][r.who], r.net.links[r.who][i]
		host, _, _ := net.SplitHostPort(r.net.relays[i].addr)
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	} else {
		to, back = &link{}, &link{}
	}
	if to.get().Cut || back.get().Cut {
		stop := r.closing(c)
		io.Copy(io.Discard, c)
		stop()
		c.Close()
		return
	}
	s, err := d.Dial("tcp", r.real)
	if err != nil {
		abort(c)
		return
	}
	var both sync.WaitGroup
	stop := r.closing(c, s)
	both.Go(func() { carry(s, c, to) })
	both.Go(func() { carry(c, s, back) })
	both.Wait()
	stop()
	c.Close()
	s.Close()
}

// closing has connections end with the network.
func (r *relay) closing(conns ...net.Conn) (stop func()) {
	over := make(chan struct{})
	go func() {
		select {
		case <-r.net.done:
			for _, c := range conns {
				c.Close()
			}
		case <-over:
		}
	}()
	return sync.OnceFunc(func() { close(over) })
}

// carry moves one direction of a stream as its link says.
func carry(dst, src net.Conn, l *link) {
	buf := make([]byte, 16<<10)
	epoch, passed := l.epoch(), 0
	poll := 50 * time.Millisecond // how soon an order to reset is seen
	for {
		src.SetReadDeadline(time.Now().Add(poll))
		n, err := src.Read(buf)
		if l.epoch() != epoch {
			abort(src)
			abort(dst)
			return
		}
		f := l.get()
		piece := buf[:n]
		if f.Cut {
			piece = nil // swallowed; nothing is closed
		} else if f.After > 0 {
			piece = piece[:min(n, max(f.After-passed, 0))]
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
			passed += len(piece)
		}
		var late net.Error
		switch {
		case errors.As(err, &late) && late.Timeout():
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
