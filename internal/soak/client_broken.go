package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Clients whose connections break for no fault of the sender, and clients that write slowly.

// breakConnection resets a client's connection, as the network may.
func breakConnection(x *conn) {
	if c, ok := x.Conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	x.Close()
}

// broken pipelines several requests, reads their responses, and has its connection reset by the network a moment later.
// What was accepted stays owed.
func (c *clients) broken(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer breakConnection(x)
	out, ok := c.pipeline(x, "broken", rng)
	if !ok {
		return
	}
	pause(ctx, time.Duration(rng.IntN(100))*time.Millisecond)
	breakConnection(x)
	brokenAt := time.Now()
	for _, m := range out {
		c.records.update(m, func() { m.brokenAt = brokenAt })
	}
	pause(ctx, time.Duration(500+rng.IntN(1000))*time.Millisecond)
}

// resending has its connection reset by the network with a request unanswered, or closed by the sender, and sends the
// request once more, under the same ID, on a new one.
func (c *clients) resending(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	m, text := c.compose("resending", rng)
	written := c.write(x, m, text, len(text))
	if rng.IntN(2) == 0 {
		pause(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
		breakConnection(x)
	} else if written && c.answer(x, m) {
		x.Close()
		pause(ctx, time.Duration(20+rng.IntN(200))*time.Millisecond)
		return
	}
	x.Close()
	pause(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
	if x = c.dial(ctx); x == nil {
		c.records.update(m, func() { m.ClientLeft = true })
		return
	}
	defer x.Close()
	if m.ClosedAt.IsZero() { // else the first close is judged
		c.resend(x, m, text)
	}
	pause(ctx, time.Duration(200+rng.IntN(500))*time.Millisecond)
}

// resend writes the request of a message once more, on a new connection, and reads the response.
func (c *clients) resend(x *conn, m *Message, text []byte) {
	c.records.update(m, func() {
		m.ClientLeft, m.resentAt = false, time.Now()
		m.Deadline = m.resentAt.Add(m.lifetime) // if the sender has not read the first one
		m.port, m.dialed, m.requestStart, m.requestEnd = x.port, x.dialed, 0, int64(len(text))
	})
	x.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := x.Write(text); err != nil {
		c.records.update(m, func() { m.ClientLeft = true })
		return
	}
	c.answer(x, m)
}

// slowClientCount is the number of slow clients of a sender that has a crowd; more than it has slots for large requests.
const slowClientCount = 32

// slow writes a large request in pieces, each over one connection, and so slowly that the sender may close it to make
// room. Some of them come from the crowd of a sender.
func (c *clients) slow(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	m, text := c.composeWithBody("slow", rng, 6000+rng.IntN(40000))
	pieces := 2 + rng.IntN(5)
	for i := range pieces - 1 {
		x.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := x.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces])
		if x.written += int64(n); err != nil {
			return
		}
		pause(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
	}
	if rest := text[len(text)*(pieces-1)/pieces:]; c.write(x, m, rest, len(rest)) {
		c.records.update(m, func() { m.requestStart = 0 })
		c.answer(x, m)
	}
	pause(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
}
