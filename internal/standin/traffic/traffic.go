// Package traffic is a small client of a standalone daemon, and writes files for
// one, for tests and measurements.
package traffic

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"cometrack/internal/sink"
	"cometrack/internal/standin/partner"
)

// responseTimeout bounds the wait for one answer.
const responseTimeout = 20 * time.Second

// ConfigText is the text of a configuration with both fronts on free ports, a class of
// each effect and partners with one endpoint each. More goes in before the first
// section.
func ConfigText(dir, more string, partners ...*partner.Partner) string {
	var b strings.Builder
	fmt.Fprintf(&b, "state = %q\n%s\n[front.http]\nlisten = \"127.0.0.1:0\"\n[front.resp]\nlisten = \"127.0.0.1:0\"\n", dir, more)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = \"2s\"\ndeadline = \"20s\"\n", class, class)
	}
	for _, p := range partners {
		fmt.Fprintf(&b, "[[partner]]\nname = %q\nendpoints = [%q]\n", p.Name(), p.Addr())
		if p.Rate() > 0 {
			fmt.Fprintf(&b, "rate = %d\n", p.Rate())
		}
	}
	return b.String()
}

// FixPorts gives a file's two fronts ports that are the same after a restart.
func FixPorts(text string) (string, error) {
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer ln.Close() // both are held until both are known
		text = strings.Replace(text, `"127.0.0.1:0"`, fmt.Sprintf("%q", ln.Addr()), 1)
	}
	return text, nil
}

// PutHTTP hands a message in and returns the status; 0 if no answer came.
func PutHTTP(c *http.Client, addr, id, to, class string) int {
	resp, err := c.Post(fmt.Sprintf("http://%s/v1/messages?partner=%s&class=%s&key=%s&left=6s&id=%s", addr, to, class, id, id), "",
		strings.NewReader("body of "+id))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// PutRESP hands a message in on a connection of its own and returns the answer;
// empty if none came.
func PutRESP(addr, id, to, class string) string {
	c, err := DialRESP(addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(responseTimeout))
	if c.Put("0", id, fmt.Sprintf("c=%s,k=%s,d=6000,dest=%s", class, id, to), []byte("body of "+id)) != nil {
		return ""
	}
	line, _ := c.Answer()
	return line
}

// Put hands a message in over one port or the other. heard is false if no answer
// came.
func Put(c *http.Client, overHTTP bool, httpAddr, respAddr, id, to, class string) (ok, heard bool) {
	if overHTTP {
		status := PutHTTP(c, httpAddr, id, to, class)
		return status == http.StatusAccepted, status != 0
	}
	line := PutRESP(respAddr, id, to, class)
	return line == "+OK", line != ""
}

// State asks for the state of a message over HTTP and waits so long for its end.
// It is empty for one that is not known.
func State(addr, id, wait string) (string, error) {
	resp, err := http.Get("http://" + addr + "/v1/messages/" + url.PathEscape(id) + "?wait=" + wait)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var s struct{ State string }
	switch resp.StatusCode {
	case http.StatusNotFound:
		return "", nil
	case http.StatusOK:
		err := json.NewDecoder(resp.Body).Decode(&s)
		return s.State, err
	}
	return "", fmt.Errorf("state of %s: %s", id, resp.Status)
}

// ReadEnds reads a file of ends.
func ReadEnds(path string) (list []sink.Line, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		var l sink.Line
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		list = append(list, l)
	}
	return list, nil
}
