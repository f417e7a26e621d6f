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

func asNetError(err error, target *net.Error) bool { return errors.As(err, target) }

// clients hand messages in at one sender.
type clients struct {
	sender  int
	addr    string
	dests   int
	crowd   bool // idle clients fill its descriptors: new connections may be shut unread
	records *Records
	number  atomic.Int64
	wg      sync.WaitGroup
}

// kinds of clients, and how many of each a sender has.
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
}

const crowdSize = 150

func (c *clients) start(ctx context.Context, seed uint64) {
	n := uint64(0)
	for _, k := range clientKinds {
		for range k.count {
			n++
			rng := rand.New(rand.NewPCG(seed, n))
			c.wg.Go(func() {
				for ctx.Err() == nil {
					k.run(c, ctx, rng)
				}
			})
		}
	}
	if c.crowd {
		for range crowdSize {
			c.wg.Go(func() { c.idle(ctx) })
		}
	}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	r       *bufio.Reader
	used    bool
	port    int // this end's
	dialed  time.Time
	written int64 // bytes
}

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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// compose makes a message and its request.
func (c *clients) compose(kind string, rng *rand.Rand) (m *Message, text []byte) {
	effect := []Effect{Safe, Keyed, Unsafe}[rng.IntN(3)]
	hold := []time.Duration{400 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second}[rng.IntN(4)] + time.Duration(rng.IntN(400))*time.Millisecond
	m = &Message{ID: fmt.Sprintf("s%d-%s-%d", c.sender, kind, c.number.Add(1)), Sender: c.sender, Effect: effect, ClientKind: kind, hold: hold}
	opts := fmt.Sprintf("c=%s,t=acme,d=%d,k=k-%s,dest=%d", effect, hold.Milliseconds(), m.ID, rng.IntN(c.dests))
	body := "body of " + m.ID
	if rng.IntN(20) == 0 {
		body = strings.Repeat("x", 5000)
	}
	text = []byte("*5\r\n$7\r\nMSG.PUT\r\n")
	for _, arg := range []string{"0000", m.ID, opts, body} {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return m, text
}

// request writes a message and books it; nil if the connection is broken.
func (c *clients) request(x *conn, kind string, rng *rand.Rand) *Message {
	m, text := c.compose(kind, rng)
	if !c.write(x, m, text, len(text)) {
		return nil
	}
	return m
}

// write writes to a connection and books a message, whose request ends with the first
// of the bytes; false if the connection is broken.
func (c *clients) write(x *conn, m *Message, text []byte, first int) bool {
	m.FirstOnConn, x.used = !x.used, true
	m.WrittenAt = time.Now()
	m.Deadline = m.WrittenAt.Add(m.hold)
	m.port, m.dialed, m.end = x.port, x.dialed, x.written+int64(first)
	c.records.add(m)
	x.SetWriteDeadline(time.Now().Add(time.Second))
	n, err := x.Write(text)
	if x.written += int64(n); err != nil {
		c.records.with(m, func() { m.ClientLeft = true }) // it was not written whole
	}
	return err == nil
}

// answer reads the answer to a message; false if the connection has ended or the
// client gives up.
func (c *clients) answer(x *conn, m *Message) bool {
	x.SetReadDeadline(m.WrittenAt.Add(2*answerWithin + time.Second))
	line, err := x.r.ReadString('\n')
	at := time.Now()
	switch {
	case err == nil:
		c.records.with(m, func() { m.Answer, m.AnsweredAt, m.line = strings.TrimSpace(line), at, line })
		return true
	default:
		var t net.Error
		timeout := errors.As(err, &t) && t.Timeout()
		c.records.with(m, func() {
			if m.ClientLeft = timeout; !timeout {
				m.ClosedAt = at
			}
		})
		return false
	}
}

// steady uses one connection, with short pauses, as long as it stays open.
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

// burst sends many requests at once and then reads their answers.
func (c *clients) burst(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	for ctx.Err() == nil {
		var out []*Message
		for range 2 + rng.IntN(8) {
			if m := c.request(x, "burst", rng); m != nil {
				out = append(out, m)
			}
		}
		for i, m := range out {
			if !c.answer(x, m) {
				for _, later := range out[i+1:] {
					c.records.with(later, func() { later.ClosedAt, later.ClientLeft = m.ClosedAt, m.ClientLeft })
				}
				return
			}
		}
		pause(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond)
	}
}

// cut always has a request under way: each write brings the rest of one and the first
// part of the next, cut at any byte.
func (c *clients) cut(ctx context.Context, rng *rand.Rand) {
	x := c.dial(ctx)
	if x == nil {
		return
	}
	defer x.Close()
	m, rest := c.compose("cut", rng)
	for ctx.Err() == nil {
		next, text := c.compose("cut", rng)
		part := 1 + rng.IntN(len(text)-1)
		if !c.write(x, m, slices.Concat(rest, text[:part]), len(rest)) || !c.answer(x, m) {
			return
		}
		m, rest = next, text[part:]
		pause(ctx, time.Duration(5+rng.IntN(40))*time.Millisecond)
	}
}

// fresh makes a connection for each request, and leaves it after the answer.
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

// resting uses a connection now and then, until the sender ends it.
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
		pause(ctx, time.Duration(3500+rng.IntN(1000))*time.Millisecond) // close to the time after which the sender ends it
	}
}

// halting stops in the middle of a request and stays: it is owed an error or a close
// within 3 s.
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
		c.records.change(func() {
			took -= within(c.records.stalls[c.sender], from, time.Now())
			if took > 3*time.Second+crossingAge && !c.records.diedBetween(c.sender, from.Add(-time.Second), time.Now()) {
				c.records.other = append(c.records.other, fmt.Sprintf("sender %d: a client that stopped within a request had neither error nor close after %v", c.sender, took))
			}
		})
	}
	pause(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
}

// idle connects, says nothing, and comes again when it is closed.
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
