package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	acceptPause   = 5 * time.Millisecond
	maxPipelined  = 16 // requests of one connection that wait for their answers
	smallRequest  = 4 << 10
	largeRequest  = maxBulk + smallRequest
	largeShare    = 8 // the part of the memory that large requests may take until they are answered
	defaultMemory = 192
)

// putEvent is a message that a client hands in. The loop sends its one answer.
type putEvent struct {
	msg    Message
	answer chan<- string
}

// clients serves the RESP2 side: it accepts connections within the process's means
// and closes the idlest to make room for new ones.
type clients struct {
	cfg      *Config
	log      *slog.Logger
	events   chan<- any
	most     int           // connections
	large    chan struct{} // a place for each large request that is not answered
	mu       sync.Mutex
	sessions map[*session]struct{}
	closing  bool
	wg       sync.WaitGroup
}

func newClients(cfg *Config, log *slog.Logger, events chan<- any) *clients {
	memory := cfg.Limits.MemoryMB
	if memory <= 0 {
		memory = defaultMemory
	}
	return &clients{cfg: cfg, log: log, events: events, most: shareOut(cfg).clients, sessions: map[*session]struct{}{},
		large: make(chan struct{}, max(int(memory*(1<<20)/largeShare/largeRequest), 8))}
}

// serve accepts connections until the listener is closed.
func (c *clients) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.log.Warn("accept", "err", err)
			if !c.evict() {
				time.Sleep(acceptPause) // out of descriptors, say: one that closes makes room
			}
			continue
		}
		s := &session{c: c, conn: conn, opened: time.Now()}
		s.since = s.opened
		if !c.admit(s) {
			conn.Close()
			continue
		}
		go func() {
			defer c.wg.Done()
			s.handle()
			c.remove(s)
			conn.Close()
		}()
	}
}

// admit takes a connection on. When all places are taken, the idlest one without a
// request under way goes; if there is none, the new one does.
func (c *clients) admit(s *session) bool {
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return false
		}
		if len(c.sessions) < c.most {
			c.sessions[s] = struct{}{}
			c.wg.Add(1)
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		if !c.evict() {
			return false
		}
	}
}

// evict closes the idlest connection; false if a request is under way on each.
func (c *clients) evict() bool {
	c.mu.Lock()
	var idlest *session
	for s := range c.sessions {
		if s.open == 0 && (idlest == nil || s.since.Before(idlest.since)) {
			idlest = s
		}
	}
	if idlest != nil {
		idlest.gone = true
		delete(c.sessions, idlest)
	}
	c.mu.Unlock()
	if idlest == nil {
		return false
	}
	idlest.conn.Close()
	return true
}

func (c *clients) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s)
}

// shutdown closes each connection once no request is under way on it, and returns
// when all are closed or ctx is over.
func (c *clients) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	for s := range c.sessions {
		at := time.Now()
		if s.open > 0 { // it may have come in part
			at = at.Add(lastRequest)
		}
		s.conn.SetReadDeadline(at) // wakes the reader, which looks for a request that has begun to come
	}
	c.mu.Unlock()
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (c *clients) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// peek looks at a connection without reading or waiting: whether the peer has it
// open still, and whether something has come.
func peek(conn net.Conn) (alive, data bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}
