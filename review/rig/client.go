package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// clientPatience is how long a client waits for the answer to a request.
const clientPatience = 400 * time.Millisecond

// client is one connection of a client to a sender.
type client struct {
	r    *rig
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(r *rig, addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{r, conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// command returns a request: an array of bulk strings.
func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// do sends a request and returns the line that answers it.
func (c *client) do(args ...string) (string, error) {
	c.conn.SetDeadline(time.Now().Add(clientPatience))
	if _, err := c.conn.Write([]byte(command(args...))); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// message is a message of a client, as it was handed in.
type message struct {
	id, class, tenant, key, dest, body string
	left                               time.Duration

	sentAt   time.Time // when it was sent, by the client's clock
	answer   string    // empty for none
	accepted bool
}

// clients are the connections of the clients of one sender. They are kept, and more are opened when all are busy.
type clients struct {
	r    *rig
	addr string

	mu   sync.Mutex
	idle []*client
}

// take returns a connection that is not busy, the one used last, or a new one.
func (l *clients) take() (c *client, kept bool, err error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		c, l.idle = l.idle[n-1], l.idle[:n-1]
	}
	l.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	c, err = dialClient(l.r, l.addr)
	return c, false, err
}

// put hands a message in. If the sender closes a kept connection as the request comes, it is sent once more, on a new one.
func (l *clients) put(m *message) {
	c, kept, err := l.take()
	if err == nil {
		if err = c.put(m); err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.close()
			if c, err = dialClient(l.r, l.addr); err == nil {
				err = c.put(m)
			}
		}
	}
	if err != nil {
		l.r.note("client", "%s: %v", m.id, err)
		if c != nil {
			c.close()
		}
		return
	}
	l.mu.Lock()
	l.idle = append(l.idle, c)
	l.mu.Unlock()
}

// put hands a message in and notes the answer.
func (c *client) put(m *message) error {
	list := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%s", m.class, m.tenant, m.left.Milliseconds(), m.dest)
	if m.key != "" {
		list = fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%s", m.class, m.tenant, m.left.Milliseconds(), m.key, m.dest)
	}
	m.sentAt = time.Now()
	answer, err := c.do("MSG.PUT", "0000000000000000", m.id, list, m.body)
	m.answer, m.accepted = answer, err == nil && strings.HasPrefix(answer, "+")
	if err != nil {
		c.r.note("client", "%s %s for %s: no answer: %v", m.id, m.class, m.dest, err)
		return err
	}
	c.r.note("client", "%s %s for %s, %v left: %s", m.id, m.class, m.dest, m.left, answer)
	return nil
}
