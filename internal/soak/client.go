package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// asNetError finds the first network error in the chain of err, as errors.As does. It reports whether there
// is one, which it then stores in target.
func asNetError(err error, target *net.Error) bool { return errors.As(err, target) }

// clients are the clients of one sender. They submit messages to it and record what they observe.
type clients struct {
	sender           int            // number of the sender
	addr             string         // address of the sender for clients
	destinationCount int            // messages go to the destinations from 0 to one less than this
	fillDescriptors  bool           // idle clients use up its descriptors: new connections may end unread
	crowd            bool           // many clients write slowly to it
	records          *Records       // where the messages and their responses are recorded
	messageCount     atomic.Int64   // messages composed so far; the next number makes a message ID unique
	wg               sync.WaitGroup // running clients
}

// clientKinds are the kinds of clients, and how many of each a sender has. Each run function plays a client
// on one connection; it is called again and again until the context is done.
var clientKinds = []struct {
	name  string
	count int
	run   func(*clients, context.Context, *rand.Rand)
}{
	{"steady", 4, (*clients).steady},
	{"burst", 1, (*clients).burst},
	{"resting", 3, (*clients).resting},
	{"halting", 1, (*clients).halting},
	{"cut", 1, (*clients).cut},
	{"fresh", 1, (*clients).fresh},
	{"leaving", 1, (*clients).leaving},
	{"broken", 1, (*clients).broken},
	{"resending", 1, (*clients).resending},
	{"slow", 1, (*clients).slow},
}

// idleClientCount is the number of idle clients of a sender whose file descriptors they have to use up.
const idleClientCount = 150

// start starts the clients in goroutines of c.wg, which end after ctx is done. The seed determines the
// random choices of each client.
func (c *clients) start(ctx context.Context, seed uint64) {
	n := uint64(0)
	for _, k := range clientKinds {
		count := k.count
		if c.crowd && k.name == "slow" {
			count = slowClientCount
		}
		for range count {
			n++
			rng := rand.New(rand.NewPCG(seed, n))
			c.wg.Go(func() {
				for ctx.Err() == nil {
					k.run(c, ctx, rng)
				}
			})
		}
	}
	if c.fillDescriptors {
		for range idleClientCount {
			c.wg.Go(func() { c.idle(ctx) })
		}
	}
}

// conn is a client's connection to its sender.
type conn struct {
	net.Conn
	r       *bufio.Reader // reads the responses
	used    bool          // a request has been written on it
	port    int           // local port, by which the connection is found in the trace of the sender
	dialed  time.Time     // when the client began to connect
	written int64         // bytes written so far
}

// dial connects to the sender. If that fails, it pauses for 50 ms and returns nil.
func (c *clients) dial(ctx context.Context) *conn {
	d := net.Dialer{Timeout: time.Second}
	dialed := time.Now()
	x, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		pause(ctx, 50*time.Millisecond)
		return nil
	}
	return &conn{Conn: x, r: bufio.NewReader(x), port: x.LocalAddr().(*net.TCPAddr).Port, dialed: dialed}
}

// pause sleeps for a duration, or until ctx is done if that is earlier.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// compose returns a random message and the text of its request. The message is not recorded before
// [clients.write].
func (c *clients) compose(kind string, rng *rand.Rand) (m *Message, text []byte) {
	bodyBytes := 0
	if rng.IntN(20) == 0 {
		bodyBytes = 5000
	}
	return c.composeWithBody(kind, rng, bodyBytes)
}

// composeWithBody is compose for a body of so many bytes; 0 for a short one.
func (c *clients) composeWithBody(kind string, rng *rand.Rand, bodyBytes int) (m *Message, text []byte) {
	class := classes[rng.IntN(len(classes))]
	lifetime := []time.Duration{400 * time.Millisecond, time.Second,
		2500 * time.Millisecond, 4 * time.Second}[rng.IntN(4)] +
		time.Duration(rng.IntN(400))*time.Millisecond
	m = &Message{ID: fmt.Sprintf("s%d-%s-%d", c.sender, kind, c.messageCount.Add(1)), Sender: c.sender, Class: class,
		ClientKind: kind, lifetime: lifetime, dest: rng.IntN(c.destinationCount)}
	opts := fmt.Sprintf("c=%s,t=acme,d=%d,k=k-%s,dest=%d",
		class, lifetime.Milliseconds(), m.ID, m.dest)
	body := "body of " + m.ID
	if bodyBytes > 0 {
		body = strings.Repeat("x", bodyBytes)
	}
	text = []byte("*5\r\n$7\r\nMSG.PUT\r\n")
	for _, arg := range []string{"0000", m.ID, opts, body} {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return m, text
}

// request composes a message, writes its request and records it. It returns nil if the connection is
// broken.
func (c *clients) request(x *conn, kind string, rng *rand.Rand) *Message {
	m, text := c.compose(kind, rng)
	if !c.write(x, m, text, len(text)) {
		return nil
	}
	return m
}

// write writes text to a connection and records a message whose request ends after the given number of its
// bytes. It returns false if the connection is broken.
func (c *clients) write(x *conn, m *Message, text []byte, requestBytes int) bool {
	m.FirstOnConn, x.used = !x.used, true
	m.WrittenAt = time.Now()
	m.Deadline = m.WrittenAt.Add(m.lifetime)
	m.port, m.dialed, m.requestEnd = x.port, x.dialed, x.written+int64(requestBytes)
	m.requestStart = m.requestEnd - int64(requestBytes)
	c.records.addMessage(m)
	x.SetWriteDeadline(time.Now().Add(time.Second))
	n, err := x.Write(text)
	if x.written += int64(n); err != nil {
		c.records.update(m, func() { m.ClientLeft = true }) // the write was incomplete
	}
	return err == nil
}

// answer reads and records the response to a message. It returns false if the connection has ended or the
// client gives up waiting.
func (c *clients) answer(x *conn, m *Message) bool {
	x.SetReadDeadline(m.WrittenAt.Add(2*answerTimeout + time.Second))
	rawAnswer, err := x.r.ReadString('\n')
	at := time.Now()
	switch {
	case err == nil:
		c.records.update(m, func() { m.Answer, m.AnsweredAt, m.rawAnswer = strings.TrimSpace(rawAnswer), at, rawAnswer })
		return true
	default:
		var t net.Error
		timeout := errors.As(err, &t) && t.Timeout()
		c.records.update(m, func() {
			if m.ClientLeft = timeout; !timeout {
				m.ClosedAt = at
			}
		})
		return false
	}
}

// steady sends one request after the other on a connection, with short pauses, as long as it stays open.
func (c *clients) steady(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	for ctx.Err() == nil {
		m := c.request(x, "steady", rng)
		if m == nil || !c.answer(x, m) {
			return
		}
		pause(ctx, time.Duration(20+rng.IntN(400))*time.Millisecond)
	}
}

// burst pipelines several requests, reads their responses and pauses, as long as the connection stays open.
func (c *clients) burst(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	for ctx.Err() == nil {
		if _, ok := c.pipeline(x, "burst", rng); !ok {
			return
		}
		pause(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond)
	}
}

// pipeline sends several requests and reads their responses. It returns the messages, and whether each has a response.
func (c *clients) pipeline(x *conn, kind string, rng *rand.Rand) (out []*Message, ok bool) {
	for range 2 + rng.IntN(8) {
		if m := c.request(x, kind, rng); m != nil {
			out = append(out, m)
		}
	}
	for i, m := range out {
		if c.answer(x, m) {
			continue
		}
		for _, later := range out[i+1:] {
			c.records.update(later, func() { later.ClosedAt, later.ClientLeft = m.ClosedAt, m.ClientLeft })
		}
		return out, false
	}
	return out, true
}

// cut always has an incomplete request outstanding: each write holds the rest of one request and the first
// part of the next, split at a random byte.
func (c *clients) cut(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	m, rest := c.compose("cut", rng)
	for ctx.Err() == nil {
		next, text := c.compose("cut", rng)
		split := 1 + rng.IntN(len(text)-1)
		if !c.write(x, m, slices.Concat(rest, text[:split]), len(rest)) || !c.answer(x, m) {
			return
		}
		m, rest = next, text[split:]
		pause(ctx, time.Duration(5+rng.IntN(40))*time.Millisecond)
	}
}

// fresh uses a new connection for each request and closes it after the response.
func (c *clients) fresh(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	if m := c.request(x, "fresh", rng); m != nil {
		c.answer(x, m)
	}
	pause(ctx, time.Duration(50+rng.IntN(200))*time.Millisecond)
}

// leaving pipelines many requests on a new connection, closes it a moment later with all responses unread, and pauses.
func (c *clients) leaving(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	var out []*Message
	var text []byte
	for range 20 + rng.IntN(40) {
		m, request := c.compose("leaving", rng)
		m.WrittenAt, m.ClientLeft = time.Now(), true
		m.Deadline = m.WrittenAt.Add(m.lifetime)
		c.records.addMessage(m)
		out, text = append(out, m), append(text, request...)
	}
	x.SetWriteDeadline(time.Now().Add(time.Second))
	x.Write(text)
	pause(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
	x.Close()
	leftAt := time.Now()
	for _, m := range out {
		c.records.update(m, func() { m.leftAt = leftAt })
	}
	pause(ctx, time.Duration(1500+rng.IntN(3000))*time.Millisecond)
}

// resting sends requests far apart on one connection until the sender closes it.
func (c *clients) resting(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	for ctx.Err() == nil {
		m := c.request(x, "resting", rng)
		if m == nil || !c.answer(x, m) {
			return
		}
		pause(ctx, time.Duration(3500+rng.IntN(1000))*time.Millisecond) // close to the idle timeout of the sender
	}
}

// halting stops in the middle of a request and keeps the connection open. The sender has to answer with an
// error or close the connection within 3 s.
func (c *clients) halting(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	from := time.Now()
	x.Write([]byte("*5\r\n$7\r\nMSG.PUT\r\n$4\r\n00"))
	x.SetReadDeadline(from.Add(6 * time.Second))
	_, err := x.r.ReadString('\n')
	took := time.Since(from)
	if err != nil && !errors.Is(err, io.EOF) || took > 3*time.Second {
		c.records.withLock(func() {
			took -= overlap(c.records.stalls[c.sender], from, time.Now())
			if took > 3*time.Second+maxUnreadAge && !c.records.killedBetween(c.sender, from.Add(-time.Second), time.Now()) {
				c.records.faults = append(c.records.faults, fmt.Sprintf(
					"sender %d: a client that stopped within a request got neither an error nor a close after %v",
					c.sender, took))
			}
		})
	}
	pause(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
}

// idle keeps a connection open without sending a request and reconnects when the sender closes it, until
// ctx is done.
func (c *clients) idle(ctx context.Context) {
	for ctx.Err() == nil {
		x := c.dial(ctx)
		if x == nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { x.Close() })
		x.r.ReadByte()
		stop()
		x.Close()
		pause(ctx, 20*time.Millisecond)
	}
}
