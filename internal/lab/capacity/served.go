package capacity

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cometrack/internal/standin/traffic"
)

// crowd is destinations that are well: they take every call at once. Each has a
// listener on an address of its own; all note in one place when what came. It is as
// plain as that so that its own processor time stays small beside the program's, on
// the same cores.
type crowd struct {
	Addrs  []string
	server *http.Server
	next   int // the destination whose turn it is

	mu   sync.Mutex
	came map[string]time.Time // the last byte of the first call of each message, by its id
}

// newCrowd makes n destinations listen, on addresses of 127.100.0.0/16 and on.
func newCrowd(n int) (*crowd, error) {
	c := &crowd{came: map[string]time.Time{}}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+i>>16, i>>8&255, i&255))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Addrs = append(c.Addrs, ln.Addr().String())
		go c.server.Serve(ln)
	}
	return c, nil
}

// Close ends all listeners and connections.
func (c *crowd) Close() { c.server.Close() }

// ServeHTTP takes a call.
func (c *crowd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it did not come whole
	}
	now, id := time.Now(), r.Header.Get("X-Trace-Id")
	c.mu.Lock()
	if _, again := c.came[id]; !again {
		c.came[id] = now
	}
	c.mu.Unlock()
}

// count is how many messages have come.
func (c *crowd) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.came)
}

// all waits until n messages have come, and says if they have.
func (c *crowd) all(n int, patience time.Duration) bool {
	for late := time.Now().Add(patience); c.count() < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			return false
		}
	}
	return true
}

// text is the destinations as partners of a file: well0, well1 and so on.
func (c *crowd) text() (out string) {
	for i, a := range c.Addrs {
		out += partnerText(fmt.Sprint("well", i), a)
	}
	return out
}

// served hands messages in at a pace, to the destinations in turn, and returns the
// times from each one's writing to its call's last byte, in ms.
func (c *crowd) served(client *traffic.RESP, prefix string, rate float64, span time.Duration) ([]float64, error) {
	n := max(int(rate*span.Seconds()), 1)
	at := make([]time.Time, n)
	answers := make(chan error, 1)
	go func() {
		for range n {
			if line, err := client.Answer(); err != nil || line != "+OK" {
				answers <- errors.Join(fmt.Errorf("answer %q", line), err)
				return
			}
		}
		answers <- nil
	}()
	before, from := c.count(), time.Now()
	for i := range n {
		time.Sleep(time.Until(from.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		at[i] = time.Now()
		if err := client.Put("0", fmt.Sprint(prefix, i), options(fmt.Sprint("well", c.next%len(c.Addrs))), body); err != nil {
			return nil, err
		}
		c.next++
	}
	if err := <-answers; err != nil {
		return nil, err
	}
	if !c.all(before+n, 30*time.Second) {
		return nil, fmt.Errorf("%d of %d messages reached their destinations", c.count()-before, n)
	}
	took := make([]float64, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		took[i] = c.came[fmt.Sprint(prefix, i)].Sub(at[i]).Seconds() * 1000
	}
	return took, nil
}
