package daemon

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/partner"
)

// Clients send requests without waiting for answers, on connections that stay open, from before SIGTERM until the
// process has exited. Each request sent well before the end of its connection has an answer, and the process exits by
// itself in time.
func TestRequestsUpToTheEnd(t *testing.T) {
	const (
		conns   = 12
		pace    = 3 * time.Millisecond
		transit = 150 * time.Millisecond // a younger request may have been in transit at the end of its connection
	)
	to := startPartner(t, partner.Options{Name: "1"})
	p := discovery.New(t)
	known := platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{{ID: "s-0",
		HostPort: to.Addr(), Zone: "a", Kind: "std",
		Dest: 1, Lifecycle: "up", Weight: 10000}}}
	p.List = known
	x := startProcess(t, p, t.TempDir(), known)
	var all sync.WaitGroup
	var requests, answered atomic.Int64
	stop := make(chan struct{})
	for i := range conns {
		c, err := net.Dial("tcp", x.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		var mu sync.Mutex
		var sent []time.Time
		all.Go(func() { // writes
			for n := 0; ; n++ {
				id := fmt.Sprintf("m-%d-%d", i, n)
				args := []string{"MSG.PUT", "0000", id, "c=safe,t=acme,d=10000,dest=1", "x"}
				text := fmt.Sprintf("*%d\r\n", len(args))
				for _, a := range args {
					text += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
				}
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				if _, err := c.Write([]byte(text)); err != nil {
					return
				}
				requests.Add(1)
				select {
				case <-stop:
					return
				case <-time.After(pace):
				}
			}
		})
		all.Go(func() { // reads
			r := bufio.NewReader(c)
			n := 0
			for ; ; n++ {
				line, err := r.ReadString('\n')
				if err != nil {
					break
				}
				if !strings.HasPrefix(line, "+OK") && !strings.HasPrefix(line, "-BUSY") {
					t.Errorf("answer %q", line)
				}
				answered.Add(1)
			}
			ended := time.Now()
			mu.Lock()
			defer mu.Unlock()
			for k, at := range sent[min(n, len(sent)):] {
				if age := ended.Sub(at); age > transit+2*to.MaxSchedulingDelay() {
					t.Errorf("request %d of connection %d had no answer %v later, at the end of its connection", n+k, i, age)
					break
				}
			}
		})
	}
	byhand.WaitUntil(t, "traffic", func() bool { return answered.Load() > conns })
	from := time.Now()
	x.term()
	x.awaitExit()
	close(stop)
	all.Wait()
	t.Logf("%d requests, %d answers, exited after %v", requests.Load(), answered.Load(), time.Since(from))
	if took := time.Since(from); took > 3700*time.Millisecond {
		t.Errorf("the process exited %v after SIGTERM; it would be killed after 3.7 s", took)
	}
}
