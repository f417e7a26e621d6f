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
	r *bufio.Reader
}

// DialRESP connects to a RESP2 front.
func DialRESP(addr string) (*RESP, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &RESP{c, bufio.NewReader(c)}, nil
}

// Put writes a request to take a message on; opts is as the front reads it.
func (c *RESP) Put(id, opts string, body []byte) error {
	b := make([]byte, 0, 128+len(id)+len(opts)+len(body))
	b = fmt.Appendf(b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(id), id, len(opts), opts, len(body))
	b = append(append(b, body...), "\r\n"...)
	_, err := c.Write(b)
	return err
}

// Answer reads the answer to the next request, without its line end.
func (c *RESP) Answer() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSpace(line), err
}
