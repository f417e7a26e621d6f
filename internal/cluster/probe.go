package cluster

import (
	"math/rand/v2"
	"net"
	"os"
	"time"

	"cometrack/internal/view"
)

// startProbe asks an address whether an incarnation still runs, and passes the result to the view.
func (c *Cluster) startProbe(p view.Probe) {
	report := func(found view.End) {
		go c.runInLoop(func() { c.apply(c.machine.HandleProbe(c.opts.now(), p, found)) })
	}
	select {
	case c.probeSlots <- struct{}{}:
	default:
		report(view.NotEnded)
		return
	}
	go func() {
		found := c.probeAddress(p)
		<-c.probeSlots
		report(found)
	}()
}

// probeAddress sends a probe. Without a conclusive response the result is [view.NotEnded].
func (c *Cluster) probeAddress(p view.Probe) view.End {
	host, _, _ := net.SplitHostPort(c.opts.Listen)
	dialer := net.Dialer{Timeout: probeTimeout}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	conn, err := c.opts.dial(&dialer, p.Addr)
	if isConnectionRefused(err) {
		return view.ConnectionRefused
	}
	if err != nil {
		return view.NotEnded
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(probeTimeout))
	currentKeys := c.keyring.current()
	request, response := probeRequest{Nonce: rand.Uint64(), ID: p.ID}, probeResponse{}
	if writeFrame(conn, currentKeys, request) != nil || readFrame(conn, currentKeys, &response) != nil ||
		response.Nonce != request.Nonce {
		return view.NotEnded
	}
	if response.ID == p.ID && response.Ended {
		return view.Fenced
	}
	return view.NotEnded
}

// executablePath returns the path of this program.
func executablePath() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}
