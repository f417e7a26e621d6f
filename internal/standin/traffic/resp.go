package traffic

import (
	"bufio"
	"fmt"
	"net"
	"strings"
)

// RESP is a connection to a RESP2 front. Requests may be pipelined.
type RESP struct {
	net.Conn
	r *bufio.Reader // of Conn
}

// DialRESP connects to a RESP2 front.
func DialRESP(addr string) (*RESP, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &RESP{c, bufio.NewReader(c)}, nil
}

// Put writes a request to submit a message. order is its order key, or "0" for none; opts is the option string
// of MSG.PUT.
func (c *RESP) Put(order, id, opts string, body []byte) error {
	b := make([]byte, 0, 128+len(order)+len(id)+len(opts)+len(body))
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n"...)
	for _, arg := range [...]string{order, id, opts} {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	b = fmt.Appendf(b, "$%d\r\n", len(body))
	b = append(append(b, body...), "\r\n"...)
	_, err := c.Write(b)
	return err
}

// Answer reads the response to the earliest request that has none yet, without its line end. The response
// must be a single line.
func (c *RESP) Answer() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSpace(line), err
}
