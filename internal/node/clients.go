package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	maxHold      = 24 * time.Hour // the longest time that a message may ask for
	requestTime  = 5 * time.Second
	answerTime   = 5 * time.Second
	lastRequest  = 200 * time.Millisecond // at a shutdown, for a request that has begun to come
	maxIDLen     = 128
	acceptPause  = 5 * time.Millisecond
	answerOK     = "+OK\r\n"
	answerFailed = "-ERR failed\r\n"
)

// putEvent is a message that a client hands in. The loop sends its one answer.
type putEvent struct {
	msg    Message
	answer chan<- string
}

// clients serves the RESP2 side.
type clients struct {
	cfg     *Config
	log     *slog.Logger
	events  chan<- any
	most    int // connections
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closing bool
	wg      sync.WaitGroup
}

func newClients(cfg *Config, log *slog.Logger, events chan<- any) *clients {
	most := 256
	if cfg.Limits.Sockets > 0 {
		most = max(cfg.Limits.Sockets/2, 16)
	}
	return &clients{cfg: cfg, log: log, events: events, most: most, conns: map[net.Conn]struct{}{}}
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
			time.Sleep(acceptPause) // out of descriptors, say: one that closes makes room
			continue
		}
		c.mu.Lock()
		ok := !c.closing && len(c.conns) < c.most
		if ok {
			c.conns[conn] = struct{}{}
			c.wg.Add(1)
		}
		c.mu.Unlock()
		if !ok {
			conn.Close()
			continue
		}
		go func() {
			defer c.wg.Done()
			c.handle(conn)
			c.mu.Lock()
			delete(c.conns, conn)
			c.mu.Unlock()
			conn.Close()
		}()
	}
}

// shutdown closes each connection once no request is under way on it, and returns
// when all are closed or ctx is over.
func (c *clients) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	for conn := range c.conns {
		conn.SetReadDeadline(time.Now()) // wakes the reader, which looks for a request that has begun to come
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

// waitRequest waits for the first byte of a request; false ends the connection.
func (c *clients) waitRequest(conn net.Conn, r *bufio.Reader) bool {
	_, err := r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// A request may have come just before: it is answered, for its client counts on that.
		if alive, data := peek(conn); !alive || !data {
			return false
		}
		conn.SetReadDeadline(time.Now().Add(lastRequest))
		_, err = r.Peek(1)
	}
	return err == nil
}

func (c *clients) handle(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		if !c.waitRequest(conn, r) {
			return
		}
		limit := requestTime
		if c.isClosing() {
			limit = lastRequest
		}
		conn.SetReadDeadline(time.Now().Add(limit))
		args, err := readCommand(r)
		if err != nil {
			if errors.Is(err, errProtocol) {
				conn.SetWriteDeadline(time.Now().Add(answerTime))
				fmt.Fprintf(conn, "-ERR %v\r\n", err)
			}
			return
		}
		answer := c.answer(args)
		conn.SetWriteDeadline(time.Now().Add(answerTime))
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
		c.mu.Lock()
		if c.closing {
			conn.SetReadDeadline(time.Now())
		} else {
			conn.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
	}
}

// answer carries a request out and returns the line to send back.
func (c *clients) answer(args [][]byte) string {
	switch cmd := strings.ToUpper(string(args[0])); cmd {
	case "PING":
		if len(args) > 1 {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])
		}
		return "+PONG\r\n"
	case "MSG.PUT":
		msg, err := c.parsePut(args[1:], time.Now())
		if err != nil {
			return "-ERR " + err.Error() + "\r\n"
		}
		answer := make(chan string, 1)
		c.events <- putEvent{msg, answer}
		return <-answer
	default:
		return "-ERR unknown command\r\n"
	}
}

// parsePut reads the arguments of MSG.PUT.
func (c *clients) parsePut(args [][]byte, now time.Time) (Message, error) {
	var m Message
	if len(args) != 4 {
		return m, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m.ID, m.Body = string(args[1]), args[3]
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		if len(key) > maxIDLen {
			return m, errors.New("bad key")
		}
		m.Order = key
	}
	if m.ID == "" || len(m.ID) > maxIDLen || !plain(m.ID) {
		return m, errors.New("bad id")
	}
	var haveTime, haveDest bool
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return m, errors.New("bad list of names and values")
		}
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			if len(value) > maxIDLen || !plain(value) {
				return m, errors.New("bad idempotency key")
			}
			m.Key = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > maxHold.Milliseconds() {
				return m, errors.New("bad time")
			}
			m.Deadline, haveTime = now.Add(time.Duration(ms)*time.Millisecond).UnixMicro(), true
		case "dest":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return m, errors.New("bad destination")
			}
			m.Dest, haveDest = n, true
		}
	}
	if !haveTime || !haveDest {
		return m, errors.New("d and dest must be given")
	}
	if _, ok := c.cfg.Classes[m.Class]; !ok {
		return m, errors.New("unknown class")
	}
	if _, ok := c.cfg.Tenants[m.Tenant]; !ok && m.Tenant != "" {
		return m, errors.New("unknown tenant")
	}
	return m, nil
}

// plain says whether s may stand in a header.
func plain(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
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
