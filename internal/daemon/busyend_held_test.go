package daemon

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/faultbuild"
	"cometrack/internal/standin/partner"
)

// pipeliningClient is a client that always has a request in progress on its one connection: each write contains the
// rest of a request and the first half of the next.
type pipeliningClient struct {
	net.Conn
	ends     []int64 // end of each completely written request, in bytes from the start of the connection
	answers  []string
	answered chan struct{}  // closed with the first answer
	loops    sync.WaitGroup // the writer and the reader
}

func startPipeliningClient(t *testing.T, addr, name string, pace time.Duration) *pipeliningClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := &pipeliningClient{Conn: conn, answered: make(chan struct{})}
	readerDone := make(chan struct{})
	c.loops.Go(func() {
		rest, written := "", int64(0)
		for n := 0; ; n++ {
			next := "*5\r\n$7\r\nMSG.PUT\r\n$4\r\n0000\r\n"
			for _, arg := range []string{fmt.Sprintf("%s-%d", name, n), "c=safe,t=acme,d=10000,dest=1", "x"} {
				next += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
			}
			half := len(next) / 2
			if _, err := conn.Write([]byte(rest + next[:half])); err != nil {
				return
			}
			if written += int64(len(rest)); n > 0 {
				c.ends = append(c.ends, written)
			}
			written += int64(half)
			rest = next[half:]
			select {
			case <-readerDone:
				return
			case <-time.After(pace):
			}
		}
	})
	c.loops.Go(func() {
		defer conn.Close()
		defer close(readerDone)
		for r := bufio.NewReader(conn); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if c.answers = append(c.answers, line); len(c.answers) == 1 {
				close(c.answered)
			}
		}
	})
	return c
}

// unanswered counts the requests without an answer that the sender had read completely before it ended the connection.
func (c *pipeliningClient) unanswered(traced []*faultbuild.Connection) (n int) {
	for _, x := range traced {
		if x.Port != c.LocalAddr().(*net.TCPAddr).Port {
			continue
		}
		for _, end := range c.ends[min(len(c.answers), len(c.ends)):] {
			if !x.ReadTime(end).IsZero() {
				n++
			}
		}
	}
	return n
}

// readAfter reports whether data was read from a connection after moment.
func readAfter(traced []*faultbuild.Connection, moment time.Time) bool {
	return slices.ContainsFunc(traced, func(c *faultbuild.Connection) bool {
		n := len(c.Reads)
		return n > 0 && c.Reads[n-1].At.After(moment)
	})
}

// Requests that were read while the process was exiting got no answer. After SIGTERM a sender must answer each request
// that it has read before its connection ends, even if it is stalled shortly before it exits.
func TestRequestReadIsAnsweredBeforeTheEnd(t *testing.T) {
	const (
		processes = 16
		clients   = 8
		pace      = 5 * time.Millisecond
		early     = 3300 * time.Millisecond // after SIGTERM, until half of the processes are stalled past the end, at 3.4 s
		last      = 3380 * time.Millisecond // until the others are stalled, one after the other
		apart     = 5 * time.Millisecond
		kill      = 3700 * time.Millisecond // from SIGTERM to SIGKILL
		stallTime = 135 * time.Millisecond  // up to 0.15 s with the overhead of the harness
		stallRate = 0.004                   // probability of a stall at each reading of the clock, until the first stall
	)
	path, err := faultProgramPath()
	if err != nil {
		t.Fatal(err)
	}
	to := startPartner(t, partner.Options{Name: "1"})
	var all sync.WaitGroup
	var busy atomic.Int32 // processes that read requests until shortly before their exit
	for i := range processes {
		p := discovery.New(t)
		p.List = platform.List{Generation: 1, Reset: true, Instances: []platform.Instance{{ID: "s-0",
			HostPort: to.Addr(), Zone: "a", Kind: "std",
			Dest: 1, Lifecycle: "up", Weight: 10000}}}
		dir := t.TempDir()
		controls, err := faultbuild.NewControls(filepath.Join(dir, "page"))
		if err != nil {
			t.Fatal(err)
		}
		defer controls.Close()
		trace := filepath.Join(dir, "trace")
		x := launchProgram(t, path, p, dir, p.List, "127.0.0.1:0", controls.Env(), faultbuild.TraceVariable+"="+trace)
		if err := x.ready(); err != nil {
			t.Fatal(err)
		}
		var list []*pipeliningClient
		for k := range clients {
			c := startPipeliningClient(t, x.addr, fmt.Sprintf("m-%d-%d", i, k), pace)
			awaitClosed(t, c.answered, "answer")
			list = append(list, c)
		}
		all.Go(func() {
			stop, resumed := make(chan struct{}), make(chan []time.Duration, 1)
			go func() {
				resumed <- faultbuild.Resume(x.Cmd.Process.Pid, func() time.Duration {
					controls.HoldAfterClock(0) // one stall only
					return stallTime
				}, stop)
			}()
			stallAfter := early
			if i >= processes/2 {
				stallAfter = last + time.Duration(i-processes/2)*apart
			}
			from := time.Now()
			x.term()
			stallTimer := time.AfterFunc(stallAfter, func() { controls.HoldAfterClock(stallRate) })
			killTimer := time.AfterFunc(kill+2*to.MaxSchedulingDelay(), func() { x.Signal(syscall.SIGKILL) })
			x.Wait()
			stallTimer.Stop()
			killTimer.Stop()
			took := time.Since(from)
			close(stop)
			traced, err := faultbuild.ReadTrace(trace)
			if err != nil {
				t.Error(err)
			}
			answers, lost := 0, 0
			for _, c := range list {
				c.loops.Wait()
				for _, line := range c.answers {
					if !strings.HasPrefix(line, "+OK") && !strings.HasPrefix(line, "-BUSY") {
						t.Errorf("answer %q", line)
					}
				}
				answers += len(c.answers)
				lost += c.unanswered(traced)
			}
			if lost > 0 {
				t.Errorf("process %d: %d requests that were read have no answer", i, lost)
			}
			if readAfter(traced, from.Add(early)) {
				busy.Add(1)
			}
			t.Logf("process %d: %d answers; stalled for %v; exited after %v", i, answers, <-resumed, took)
		})
	}
	all.Wait()
	if n := busy.Load(); n < processes/2 {
		t.Errorf("only %d of %d processes read requests until shortly before their exit: the test proves nothing",
			n, processes)
	}
}
