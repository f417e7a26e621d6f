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

// destinationServer is a set of healthy destinations that accept every call at once. Each has a
// listener on an address of its own; the arrival times of all are recorded together. The server is
// kept simple so that its own processor time stays small compared to that of the program on the
// same cores.
type destinationServer struct {
	Addrs           []string     // of the destinations, by index
	server          *http.Server // serves all listeners
	nextDestination int          // index of the destination of the next message

	mu       sync.Mutex           // guards arrivals
	arrivals map[string]time.Time // when the last byte of the first call of a message arrived, by message ID
}

// newDestinationServer starts n destinations, on addresses from 127.100.0.0/16 on and free ports.
func newDestinationServer(n int) (*destinationServer, error) {
	c := &destinationServer{arrivals: map[string]time.Time{}}
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

// Close closes all listeners and connections.
func (c *destinationServer) Close() { c.server.Close() }

// ServeHTTP accepts a call with the status 200 and records its arrival, if it is the first of its message.
func (c *destinationServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is incomplete
	}
	now, id := time.Now(), r.Header.Get("X-Trace-Id")
	c.mu.Lock()
	if _, again := c.arrivals[id]; !again {
		c.arrivals[id] = now
	}
	c.mu.Unlock()
}

// arrived returns the number of different messages that have arrived since the start.
func (c *destinationServer) arrived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.arrivals)
}

// awaitArrivals waits until n messages have arrived since the start, and reports whether they have
// within timeout.
func (c *destinationServer) awaitArrivals(n int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); c.arrived() < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// config returns the destinations as [[partner]] sections of a configuration: well0, well1 and so on.
func (c *destinationServer) config() (out string) {
	for i, a := range c.Addrs {
		out += partnerConfig(fmt.Sprint("well", i), a)
	}
	return out
}

// measureLatency submits messages at a rate per second over span, to the destinations in turn, and
// waits until all have arrived. It returns the times from the write of each message to the last byte of
// its call, in ms. prefix begins the IDs of the messages and must differ between calls.
func (c *destinationServer) measureLatency(client *traffic.RESP, prefix string, rate float64,
	span time.Duration) ([]float64, error) {
	n := max(int(rate*span.Seconds()), 1)
	submitted := make([]time.Time, n)
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
	before, from := c.arrived(), time.Now()
	for i := range n {
		time.Sleep(time.Until(from.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		submitted[i] = time.Now()
		if err := client.Put("0", fmt.Sprint(prefix, i),
			messageOptions(fmt.Sprint("well", c.nextDestination%len(c.Addrs))), messageBody); err != nil {
			return nil, err
		}
		c.nextDestination++
	}
	if err := <-answers; err != nil {
		return nil, err
	}
	if !c.awaitArrivals(before+n, 30*time.Second) {
		return nil, fmt.Errorf("%d of %d messages reached their destinations", c.arrived()-before, n)
	}
	latencies := make([]float64, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		latencies[i] = c.arrivals[fmt.Sprint(prefix, i)].Sub(submitted[i]).Seconds() * 1000
	}
	return latencies, nil
}
