package cluster

import (
	"errors"
	"net"
	"time"
)

// readDatagrams receives datagrams until the socket is closed.
func (c *Cluster) readDatagrams(udp DatagramConn) {
	buf := make([]byte, maxPacket+1)
	for {
		n, _, err := udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error for a datagram sent before
		}
		switch currentKeys := c.keyring.current(); {
		case magicOf(buf[:n]) != factsMagic:
			enqueue(c, buf[:n], currentKeys.unpackView, c.viewMessages)
		case c.opts.ShareFacts: // if not, facts from peers are ignored
			enqueue(c, buf[:n], currentKeys.unpack, c.replication.messages)
		}
	}
}

// enqueue decodes a packet and queues its message for the loop. It drops packets that are invalid or
// exceed the queue.
func enqueue[M any](c *Cluster, packet []byte, decode func([]byte, any) error, queue chan<- *M) {
	m := new(M)
	if err := decode(packet, m); err != nil {
		c.countDropped(err.Error())
		return
	}
	select {
	case queue <- m:
	default:
		c.countDropped("too many at once")
	}
}

// countDropped counts a dropped packet and logs the counts at most every dropLogInterval.
func (c *Cluster) countDropped(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped[reason]++
	if time.Since(c.dropsLoggedAt) < dropLogInterval {
		return
	}
	c.dropsLoggedAt = time.Now()
	attrs := []any{}
	for key, n := range c.dropped {
		attrs = append(attrs, key, n)
	}
	c.log.Warn("cluster: packets dropped", attrs...)
}

// Dropped returns the number of dropped packets by reason.
func (c *Cluster) Dropped() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.dropped {
		out[k] = v
	}
	return out
}
