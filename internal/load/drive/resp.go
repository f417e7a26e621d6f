package drive

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cometrack/internal/load"
	"cometrack/internal/standin/traffic"
)

// respFront hands messages in over RESP2 connections, pipelined, in turns.
type respFront struct {
	r     *run
	conns []*respConn
	next  int
}

// respConn is one connection: a writer, and a reader of the answers, which come in
// order.
type respConn struct {
	r      *run
	queue  chan job
	done   chan struct{}
	rec    *load.Recorder // of the writer: lateness
	heard  *load.Recorder // of the readers
	readMu sync.Mutex
}

type job struct {
	m load.Message
	k *load.Kind
}

func newRESP(r *run) (worker, error) {
	f := &respFront{r: r}
	for range r.opts.Connections {
		conn, err := traffic.DialRESP(r.opts.RESP)
		if err != nil {
			f.close()
			return nil, err
		}
		c := &respConn{r: r, queue: make(chan job, r.opts.Scenario.InFlight), done: make(chan struct{}), rec: load.NewRecorder(), heard: load.NewRecorder()}
		f.conns = append(f.conns, c)
		go c.write(conn)
	}
	return f, nil
}

func (f *respFront) put(m load.Message, k *load.Kind) {
	f.conns[f.next].queue <- job{m, k} // it has room for all that may be in flight
	f.next = (f.next + 1) % len(f.conns)
}

func (f *respFront) close() *load.Recorder {
	out := load.NewRecorder()
	for _, c := range f.conns {
		close(c.queue)
	}
	for _, c := range f.conns {
		<-c.done
		out.Merge(c.rec)
		out.Merge(c.heard)
	}
	return out
}

// closing is how long answers are waited for once a run is over.
const closing = 100 * time.Millisecond

// write sends what comes; a connection that breaks is replaced, and what was not
// answered on it has no answer.
func (c *respConn) write(conn *traffic.RESP) {
	defer close(c.done)
	var pending chan job
	var reading sync.WaitGroup
	begin := func() {
		pending = make(chan job, cap(c.queue))
		in, from := pending, conn
		reading.Go(func() { c.read(from, in) })
	}
	begin()
	body := []byte(nil)
	for j := range c.queue {
		if conn == nil {
			var err error
			if conn, err = traffic.DialRESP(c.r.opts.RESP); err != nil {
				conn = nil
				c.r.answered(c.rec, j.m, j.k, silent)
				continue
			}
			begin()
		}
		for len(body) < j.k.Size {
			body = append(body, "load "...)
		}
		c.rec.Late.Add(max(time.Since(c.r.start)-j.m.Due, 0))
		pending <- j
		if err := conn.Put(order(j.m), c.r.id(j.m.N), c.options(j), body[:j.k.Size]); err != nil {
			c.r.counts.broken.Add(1)
			conn.Close()
			close(pending)
			conn = nil
		}
	}
	if conn != nil {
		conn.SetReadDeadline(time.Now().Add(closing))
		close(pending)
	}
	reading.Wait()
}

func (c *respConn) options(j job) string {
	var b strings.Builder
	fmt.Fprintf(&b, "c=%s,dest=%s,k=%s", j.k.Class, j.m.Partner, c.r.id(j.m.N))
	fmt.Fprintf(&b, ",d=%d", time.Duration(j.k.Left).Milliseconds())
	if j.k.Tenant != "" {
		fmt.Fprintf(&b, ",t=%s", j.k.Tenant)
	}
	return b.String()
}

func order(m load.Message) string {
	if m.Order < 0 {
		return "0"
	}
	return fmt.Sprint("order", m.Order)
}

// read takes the answers of one connection until it ends.
func (c *respConn) read(conn *traffic.RESP, pending <-chan job) {
	defer conn.Close()
	broken := false
	for j := range pending {
		line := ""
		if !broken {
			var err error
			if line, err = conn.Answer(); err != nil {
				broken = true
				conn.Close() // the writer finds it so
			}
		}
		v := turnedAway
		switch {
		case broken:
			v = silent
		case line == "+OK":
			v = taken
		}
		c.readMu.Lock() // one reader may still be at its end while the next begins
		c.r.answered(c.heard, j.m, j.k, v)
		c.readMu.Unlock()
	}
}
