package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
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

	sentAt   time.Time // when its last byte was written
	answer   string    // empty for none
	accepted bool
}

// put hands a message in on a new connection, and notes the answer.
func (r *rig) put(addr string, m *message) {
	c, err := dialClient(r, addr)
	if err != nil {
		r.note("client", "%s: %v", m.id, err)
		return
	}
	defer c.close()
	c.put(m)
}

// put hands a message in and notes the answer. It reports whether the connection is still good.
func (c *client) put(m *message) bool {
	list := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%s", m.class, m.tenant, m.left.Milliseconds(), m.dest)
	if m.key != "" {
		list = fmt.Sprintf("c=%s,t=%s,d=%d,k=%s,dest=%s", m.class, m.tenant, m.left.Milliseconds(), m.key, m.dest)
	}
	m.sentAt = time.Now()
	answer, err := c.do("MSG.PUT", "0000000000000000", m.id, list, m.body)
	m.answer, m.accepted = answer, err == nil && strings.HasPrefix(answer, "+")
	if err != nil {
		c.r.note("client", "%s %s for %s: no answer: %v", m.id, m.class, m.dest, err)
		return false
	}
	c.r.note("client", "%s %s for %s, %v left: %s", m.id, m.class, m.dest, m.left, answer)
	return true
}
