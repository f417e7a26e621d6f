package cluster

import (
	"errors"
	"net"
	"time"
)

// read takes datagrams until the socket is closed.
func (c *Cluster) read(udp DatagramConn) {
	buf := make([]byte, maxPacket+1)
	for {
		n, _, err := udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram found nobody
		}
		switch ring := c.ring.get(); {
		case kindOf(buf[:n]) != lore:
			take(c, buf[:n], ring.unpack, c.in)
		case c.opts.ShareFacts: // else the others share what this one does not
			take(c, buf[:n], ring.open, c.lore.in)
		}
	}
}

// take hands a packet to the loop, unless it is dropped.
func take[M any](c *Cluster, b []byte, read func([]byte, any) error, to chan<- *M) {
	m := new(M)
	if err := read(b, m); err != nil {
		c.drop(err.Error())
		return
	}
	select {
	case to <- m:
	default:
		c.drop("too many at once")
	}
}

// drop counts a packet that was dropped, and says so now and then.
func (c *Cluster) drop(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped[why]++
	if time.Since(c.saidAt) < logEvery {
		return
	}
	c.saidAt = time.Now()
	attrs := []any{}
	for reason, n := range c.dropped {
		attrs = append(attrs, reason, n)
	}
	c.log.Warn("cluster: packets dropped", attrs...)
}

// Dropped counts the packets that were dropped, by reason.
func (c *Cluster) Dropped() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.dropped {
		out[k] = v
	}
	return out
}
