package hollow

import (
	"sync/atomic"

	"cometrack/internal/cluster"
)

// udpHeaderBytes is the size of the IP and UDP headers of a datagram, in bytes (RFC 791, RFC 768).
const udpHeaderBytes = 28

// Count is the traffic of a sender since its first start.
type Count struct {
	DatagramsOut, DatagramsIn int64 // datagrams
	BytesOut, BytesIn         int64 // of datagrams, each with 28 bytes of IP and UDP headers, and of the streams of probes
	FactsBytesOut             int64 // bytes of BytesOut in packets of facts
	Probes                    int64 // attempts to open a stream
}

// plus returns the sum of two counts.
func (c Count) plus(x Count) Count {
	return Count{c.DatagramsOut + x.DatagramsOut, c.DatagramsIn + x.DatagramsIn, c.BytesOut + x.BytesOut,
		c.BytesIn + x.BytesIn, c.FactsBytesOut + x.FactsBytesOut, c.Probes + x.Probes}
}

// minus returns the traffic since an earlier count x.
func (c Count) minus(x Count) Count {
	return Count{c.DatagramsOut - x.DatagramsOut, c.DatagramsIn - x.DatagramsIn, c.BytesOut - x.BytesOut,
		c.BytesIn - x.BytesIn, c.FactsBytesOut - x.FactsBytesOut, c.Probes - x.Probes}
}

// sumCounts adds up the counts at the given indexes of a list; nil stands for all indexes.
func sumCounts(list []Count, indexes []int) (all Count) {
	if indexes == nil {
		for _, c := range list {
			all = all.plus(c)
		}
		return all
	}
	for _, i := range indexes {
		all = all.plus(list[i])
	}
	return all
}

// counter is a [Count] that goroutines share.
type counter struct {
	datagramsOut, datagramsIn, bytesOut, bytesIn, factsBytesOut, probes atomic.Int64
}

// sent counts a datagram with payload b as sent, even if a cut link loses it.
func (c *counter) sent(b []byte) {
	size := int64(len(b) + udpHeaderBytes)
	c.datagramsOut.Add(1)
	c.bytesOut.Add(size)
	if cluster.IsFactsPacket(b) {
		c.factsBytesOut.Add(size)
	}
}

// received counts a datagram with a payload of n bytes as received.
func (c *counter) received(n int) {
	c.datagramsIn.Add(1)
	c.bytesIn.Add(int64(n + udpHeaderBytes))
}

// get returns the count so far.
func (c *counter) get() Count {
	return Count{c.datagramsOut.Load(), c.datagramsIn.Load(), c.bytesOut.Load(), c.bytesIn.Load(),
		c.factsBytesOut.Load(), c.probes.Load()}
}
