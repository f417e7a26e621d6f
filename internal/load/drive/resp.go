package drive

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cometrack/internal/load"
	"cometrack/internal/standin/traffic"
)

// respFront submits messages over RESP2 connections, pipelined and by round robin.
type respFront struct {
	r     *run
	conns []*respConn
	next  int
}

// respConn is one connection with a writer and a reader of the replies, which arrive in order.
type respConn struct {
	r        *run
	queue    chan job
	done     chan struct{}
	lateness *load.Recorder // of the writer
	answers  *load.Recorder // of the readers, guarded by readMu
	readMu   sync.Mutex
}

// job is a message to submit.
type job struct {
	m load.Message
	k *load.Kind
}

// newRESP opens the connections to the front.
func newRESP(r *run) (worker, error) {
	f := &respFront{r: r}
	for range r.opts.Connections {
		conn, err := traffic.DialRESP(r.opts.RESP)
		if err != nil {
			f.close()
			return nil, err
		}
		c := &respConn{r: r, queue: make(chan job, r.opts.Scenario.InFlight), done: make(chan struct{}),
			lateness: load.NewRecorder(), answers: load.NewRecorder()}
		f.conns = append(f.conns, c)
		go c.write(conn)
	}
	return f, nil
}

func (f *respFront) submit(m load.Message, k *load.Kind) {
	f.conns[f.next].queue <- job{m, k} // never blocks: the queue has room for all messages that may be in flight
	f.next = (f.next + 1) % len(f.conns)
}

func (f *respFront) close() *load.Recorder {
	out := load.NewRecorder()
	for _, c := range f.conns {
		close(c.queue)
	}
	for _, c := range f.conns {
		<-c.done
		out.Merge(c.lateness)
		out.Merge(c.answers)
	}
	return out
}

// closeTimeout is how long close waits for replies.
const closeTimeout = 100 * time.Millisecond

// write sends the queued messages. It replaces a connection that breaks; messages without a
// reply on the old one get none.
func (c *respConn) write(conn *traffic.RESP) {
	defer close(c.done)
	var pending chan job
	var readers sync.WaitGroup
	startReader := func() {
		pending = make(chan job, cap(c.queue))
		readerPending, readerConn := pending, conn
		readers.Go(func() { c.read(readerConn, readerPending) })
	}
	startReader()
	body := []byte(nil)
	for j := range c.queue {
		if conn == nil {
			var err error
			if conn, err = traffic.DialRESP(c.r.opts.RESP); err != nil {
				conn = nil
				c.r.answered(c.lateness, j.m, j.k, noAnswer)
				continue
			}
			startReader()
		}
		for len(body) < j.k.Size {
			body = append(body, "load "...)
		}
		c.lateness.Lateness.Add(max(time.Since(c.r.start)-j.m.Due, 0))
		pending <- j
		if err := conn.Put(orderKey(j.m), c.r.id(j.m.Number), c.options(j), body[:j.k.Size]); err != nil {
			c.r.counts.broken.Add(1)
			conn.Close()
			close(pending)
			conn = nil
		}
	}
	if conn != nil {
		conn.SetReadDeadline(time.Now().Add(closeTimeout))
		close(pending)
	}
	readers.Wait()
}

// options returns the list of names and values of a MSG.PUT request.
func (c *respConn) options(j job) string {
	var b strings.Builder
	fmt.Fprintf(&b, "c=%s,dest=%s,k=%s", j.k.Class, j.m.Partner, c.r.id(j.m.Number))
	fmt.Fprintf(&b, ",d=%d", time.Duration(j.k.Left).Milliseconds())
	if j.k.Tenant != "" {
		fmt.Fprintf(&b, ",t=%s", j.k.Tenant)
	}
	return b.String()
}

// orderKey returns the first argument of a MSG.PUT request: the order key, or "0" for none.
func orderKey(m load.Message) string {
	if m.OrderKey < 0 {
		return "0"
	}
	return fmt.Sprint("order", m.OrderKey)
}

// read records the reply to each message in pending until that is closed. Once the connection
// has failed, the remaining messages have no reply.
func (c *respConn) read(conn *traffic.RESP, pending <-chan job) {
	defer conn.Close()
	broken := false
	for j := range pending {
		line := ""
		if !broken {
			var err error
			if line, err = conn.Answer(); err != nil {
				broken = true
				conn.Close() // so that the writer's next write fails
			}
		}
		reply := rejected
		switch {
		case broken:
			reply = noAnswer
		case line == "+OK":
			reply = accepted
		}
		c.readMu.Lock() // the reader of a broken connection may still run beside the next one
		c.r.answered(c.answers, j.m, j.k, reply)
		c.readMu.Unlock()
	}
}
