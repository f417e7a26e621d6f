package cluster

import (
	"math/rand/v2"
	"net"
	"os"
	"time"

	"cometrack/internal/view"
)

// probe asks at an address whether a life goes on.
func (c *Cluster) probe(p view.Probe) {
	tell := func(found view.End) {
		go c.within(func() { c.follow(c.machine.HandleProbe(c.opts.now(), p, found)) })
	}
	select {
	case c.asks <- struct{}{}:
	default:
		tell(view.NotEnded)
		return
	}
	go func() {
		found := c.askAt(p)
		<-c.asks
		tell(found)
	}()
}

func (c *Cluster) askAt(p view.Probe) view.End {
	host, _, _ := net.SplitHostPort(c.opts.Listen)
	d := net.Dialer{Timeout: askTime}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	conn, err := c.opts.dial(&d, p.Addr)
	if isRefused(err) {
		return view.ConnectionRefused
	}
	if err != nil {
		return view.NotEnded
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askTime))
	ring := c.ring.get()
	q, a := ask{Nonce: rand.Uint64(), ID: p.ID}, answer{}
	if writeFrame(conn, ring, q) != nil || readFrame(conn, ring, &a) != nil || a.Nonce != q.Nonce {
		return view.NotEnded
	}
	if a.ID == p.ID && a.Over {
		return view.Fenced
	}
	return view.NotEnded
}

// exe is the path of this program.
func exe() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}
