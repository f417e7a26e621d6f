package hollow

import (
	"sync/atomic"

	"cometrack/internal/cluster"
)

// udpHead is what IP and UDP put before each datagram, in bytes (RFC 791, RFC 768).
const udpHead = 28

// Count is what a sender has sent and taken since it was first started.
type Count struct {
	Out, In           int64 // datagrams
	OutBytes, InBytes int64 // of them, each with its 28 bytes of IP and UDP, and of probes' streams
	Lore              int64 // of OutBytes those that tell facts
	Probes            int64 // streams that were opened, or tried to
}

func (c Count) plus(x Count) Count {
	return Count{c.Out + x.Out, c.In + x.In, c.OutBytes + x.OutBytes, c.InBytes + x.InBytes, c.Lore + x.Lore, c.Probes + x.Probes}
}

func (c Count) minus(x Count) Count {
	return Count{c.Out - x.Out, c.In - x.In, c.OutBytes - x.OutBytes, c.InBytes - x.InBytes, c.Lore - x.Lore, c.Probes - x.Probes}
}

// sum adds up the counts of some; nil for all.
func sum(list []Count, of []int) (all Count) {
	if of == nil {
		for _, c := range list {
			all = all.plus(c)
		}
		return all
	}
	for _, i := range of {
		all = all.plus(list[i])
	}
	return all
}

// counter is a [Count] that goroutines share.
type counter struct {
	out, in, outBytes, inBytes, lore, probes atomic.Int64
}

func (c *counter) sent(b []byte) {
	size := int64(len(b) + udpHead)
	c.out.Add(1)
	c.outBytes.Add(size)
	if cluster.IsFactsPacket(b) {
		c.lore.Add(size)
	}
}

func (c *counter) took(n int) {
	c.in.Add(1)
	c.inBytes.Add(int64(n + udpHead))
}

func (c *counter) get() Count {
	return Count{c.out.Load(), c.in.Load(), c.outBytes.Load(), c.inBytes.Load(), c.lore.Load(), c.probes.Load()}
}
