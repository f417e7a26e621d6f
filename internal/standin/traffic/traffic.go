// Package traffic is a small client of a standalone daemon and writes configurations for one, for tests and
// measurements.
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

// responseTimeout bounds the wait for one response.
const responseTimeout = 20 * time.Second

// ConfigText returns a configuration in TOML with the state folder dir, both fronts on free ports, a class of
// each effect and partners with one endpoint each. The text more is inserted before the first section.
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

// FixPorts replaces the ports of a configuration's two fronts by free ones that stay the same across restarts.
func FixPorts(text string) (string, error) {
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer ln.Close() // both stay taken until both are chosen
		text = strings.Replace(text, `"127.0.0.1:0"`, fmt.Sprintf("%q", ln.Addr()), 1)
	}
	return text, nil
}

// PutHTTP submits a message for the partner to, with 6 s until its deadline, to the HTTP front at addr. It
// returns the status of the response; 0 if there was none.
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

// PutRESP submits a message for the partner to, with 6 s until its deadline, to the RESP front at addr on a
// new connection. It returns the response; empty if there was none.
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

// Put submits a message for the partner to over HTTP or, if overHTTP is false, over RESP. ok reports whether
// it was accepted; answered is false if there was no response.
func Put(c *http.Client, overHTTP bool, httpAddr, respAddr, id, to, class string) (ok, answered bool) {
	if overHTTP {
		status := PutHTTP(c, httpAddr, id, to, class)
		return status == http.StatusAccepted, status != 0
	}
	line := PutRESP(respAddr, id, to, class)
	return line == "+OK", line != ""
}

// State returns the state of a message from the HTTP front at addr, which waits for its end for up to wait, a
// duration such as "20s". The state is empty if the message is unknown.
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

// ReadEnds reads a file to which a daemon has written the ends of messages, one JSON object on each line.
// After a kill an end may be in it more than once.
func ReadEnds(path string) (list []sink.Notice, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		var l sink.Notice
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		list = append(list, l)
	}
	return list, nil
}
