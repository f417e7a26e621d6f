package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometrack/internal/standin/program"
)

// testPlatform is what a sender needs around it: a discovery that never answers a list
// request, a partner that accepts all calls (1), one that refuses connections (2), a
// folder and a configuration.
type testPlatform struct {
	dir, config, listen string           // folder, path of the configuration, address of the front
	stub                *stubPartner     // the partner that accepts all calls
	discovery           *httptest.Server // also takes the sender's notices
}

// newTestPlatform starts a discovery and a partner, and writes the configuration of a
// sender with limits and at most maxOpen pending messages.
func newTestPlatform(limits map[string]any, maxOpen int) (*testPlatform, error) {
	s := &testPlatform{}
	var err error
	if s.stub, err = startStubPartner(); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "measure"); err != nil {
		return nil, err
	}
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/discovery") {
			<-r.Context().Done()
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	if s.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	row := func(id, addr string, cell int) map[string]any {
		return map[string]any{"instanceId": id, "hostPort": addr, "zone": "a", "machineType": "std", "cell": cell,
			"lifecycle": "up", "weight": 0}
	}
	conf, err := json.Marshal(map[string]any{"name": "n", "listen": s.listen,
		"discovery": strings.TrimPrefix(s.discovery.URL, "http://"), "seed": "1",
		"limits": limits, "known": map[string]any{"generation": 1, "reset": true, "instances": []any{
			row("s-1", s.stub.ln.Addr().String(), 1),
			row("s-2", "127.0.0.1:1", 2)}},
		"settings": json.RawMessage(strings.Replace(platformSettings, `"max_open":500`,
			fmt.Sprintf(`"max_open":%d`, maxOpen), 1))})
	if err != nil {
		return nil, err
	}
	s.config = filepath.Join(s.dir, "config.json")
	return s, os.WriteFile(s.config, conf, 0o600)
}

// freeAddr returns an address of loopback whose port is free at present.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// start starts a process of bin with its own console, and returns the console's address.
// With a core, the process is pinned to it.
func (s *testPlatform) start(bin, core string) (p *process, console string, err error) {
	if console, err = freeAddr(); err != nil {
		return nil, "", err
	}
	args := []string{bin}
	if core != "" {
		args = []string{"taskset", "-c", core, bin}
	}
	x, err := program.Start(args[0], []string{"BALANCER_CONFIG=" + s.config,
		"BALANCER_STATE=" + filepath.Join(s.dir, "state"),
		"BALANCER_LISTEN=" + s.listen, "BALANCER_CONSOLE=" + console}, args[1:]...)
	if err != nil {
		return nil, "", err
	}
	return &process{x, s.dir}, console, nil
}

// close ends the discovery and the partner and removes the folder; a sender must have been stopped before.
func (s *testPlatform) close() {
	s.discovery.CloseClientConnections()
	s.discovery.Close()
	s.stub.ln.Close()
	os.RemoveAll(s.dir)
}

// measureSilent measures the memory of idle connections that send nothing, for several
// programs in turns.
func measureSilent(args []string) error {
	fs := flag.NewFlagSet("silent", flag.ContinueOnError)
	n := fs.Int("connections", 2000, "connections")
	turns := fs.Int("turns", 5, "runs of each program")
	if err := fs.Parse(args); err != nil {
		return err
	}
	bytesByProgram := map[string][]float64{}
	for range *turns {
		for _, bin := range fs.Args() {
			s, err := newTestPlatform(map[string]any{"cores": 1, "memory_mb": 192, "sockets": 4*(*n) + 200, "disk_mb": 3}, 500)
			if err != nil {
				return err
			}
			p, _, err := s.start(bin, "")
			if err != nil {
				return err
			}
			fresh := p.residentMB()
			var conns []net.Conn
			for range *n {
				c, err := net.Dial("tcp", s.listen)
				if err != nil {
					return err
				}
				conns = append(conns, c)
			}
			time.Sleep(500 * time.Millisecond) // until all are accepted; they are closed after 2.3 s
			bytesByProgram[bin] = append(bytesByProgram[bin], (p.residentMB()-fresh)*(1<<20)/float64(*n))
			for _, c := range conns {
				c.Close()
			}
			p.Cmd.Process.Kill()
			p.Wait()
			s.close()
		}
	}
	for _, bin := range fs.Args() {
		v := bytesByProgram[bin]
		slices.Sort(v)
		fmt.Printf("%-30s %6.0f bytes of resident memory for each silent connection (median of %d; %.0f to %.0f)\n", bin,
			v[len(v)/2], len(v), v[0], v[len(v)-1])
	}
	return nil
}

// loadGenerator submits messages, each on a new connection, until stop is closed, and
// counts the replies.
type loadGenerator struct {
	addr                       string         // of the RESP2 front of the sender
	accepted, rejected         atomic.Int64   // replies of +OK, and other replies
	connRefused, reset, unread atomic.Int64   // no connection; connection failed; closed without a reply
	mu                         sync.Mutex     // guards lastAccepted and maxAcceptedGap
	lastAccepted               time.Time      // the start of the load before the first
	maxAcceptedGap             time.Duration  // longest time between two accepted messages
	nextID                     atomic.Int64   // number in the id of the last message
	stop                       chan struct{}  // closed by the user, who then waits for workers
	workers                    sync.WaitGroup // ends once stop is closed
}

// run starts workers that submit messages, each with a pause after a message. It returns at once.
func (l *loadGenerator) run(workers int, pause time.Duration) {
	l.stop, l.lastAccepted = make(chan struct{}), time.Now()
	for range workers {
		l.workers.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				l.submit()
				time.Sleep(pause)
			}
		})
	}
}

// submit submits one message and counts its reply, or how its connection failed.
func (l *loadGenerator) submit() {
	c, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.connRefused.Add(1)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	line, err := putMessage(c, fmt.Sprintf("l%015x", l.nextID.Add(1)), 1)
	switch {
	case err == io.EOF:
		l.unread.Add(1)
	case err != nil:
		l.reset.Add(1)
	case strings.HasPrefix(line, "+OK"):
		l.accepted.Add(1)
		l.mu.Lock()
		now := time.Now()
		l.maxAcceptedGap, l.lastAccepted = max(l.maxAcceptedGap, now.Sub(l.lastAccepted)), now
		l.mu.Unlock()
	default:
		l.rejected.Add(1)
	}
}

// putMessage submits a message for partner dest over RESP2 and returns the line of the reply. The error is
// io.EOF if the connection was closed without a reply.
func putMessage(c net.Conn, id string, dest int) (string, error) {
	opts := fmt.Sprintf("c=c,d=160000,dest=%d", dest)
	fmt.Fprintf(c, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(opts),
		opts, len(messageBody), messageBody)
	return bufio.NewReader(c).ReadString('\n')
}

// measureConsole measures the response times of a console whose sender is under full
// load on one core, beside callers that send nothing or half a request.
func measureConsole(args []string) error {
	fs := flag.NewFlagSet("console", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the sender")
	calls := fs.Int("calls", 10_000, "calls")
	silentCallers := fs.Int("silent", 100,
		"callers that hold a connection and send nothing; half of them send half a request")
	core := fs.String("core", "0", "the core that the sender runs on")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s, err := newTestPlatform(map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, 5000)
	if err != nil {
		return err
	}
	defer s.close()
	p, console, err := s.start(*bin, *core)
	if err != nil {
		return err
	}
	defer p.Cmd.Process.Kill()
	l := &loadGenerator{addr: s.listen}
	l.run(64, 0)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range *silentCallers {
		callers.Go(func() {
			for {
				c, err := net.Dial("tcp", console)
				if err != nil {
					return
				}
				if i%2 == 0 {
					io.WriteString(c, "GET /_ready HTTP/1.1\r\nHo")
				}
				c.SetReadDeadline(time.Now().Add(4 * time.Second))
				c.Read(make([]byte, 1)) // until the console closes the connection
				c.Close()
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	cpu, start := p.cpuTime(), time.Now()
	var latencies []time.Duration
	failed := 0
	for range *calls {
		at := time.Now()
		c, err := net.Dial("tcp", console)
		if err != nil {
			failed++
			continue
		}
		c.SetDeadline(at.Add(5 * time.Second))
		io.WriteString(c, "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != http.StatusOK {
			failed++
		}
		latencies = append(latencies, time.Since(at))
		c.Close()
	}
	cpuShare := (p.cpuTime() - cpu).Seconds() / time.Since(start).Seconds()
	close(stop)
	close(l.stop)
	l.workers.Wait()
	slices.Sort(latencies)
	fmt.Printf("%d calls beside %d silent callers and %.0f messages a second, %.0f%% of one core: median %v, 99th percentile %v, longest %v; %d wrong\n",
		*calls, *silentCallers, float64(l.accepted.Load()+l.rejected.Load())/time.Since(start).Seconds(), 100*cpuShare,
		latencies[len(latencies)/2].Round(time.Microsecond),
		latencies[len(latencies)*99/100].Round(time.Microsecond), latencies[len(latencies)-1].Round(time.Microsecond), failed)
	return nil
}

// handoverTime matches the log line of a completed handover; its group is the duration, such as "1.5ms".
var handoverTime = regexp.MustCompile(`msg="handed over" .*took=(\S+)`)

// measureUpgrades measures many upgrades in a row under load, with a number of pending
// messages: failed submissions, duration of the handover, memory of both processes.
func measureUpgrades(args []string) error {
	fs := flag.NewFlagSet("upgrade", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the sender")
	turns := fs.Int("turns", 100, "upgrades")
	wantPending := fs.Int("held", 1000, "pending messages; as many as are accepted, if fewer")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s, err := newTestPlatform(map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, 20_000)
	if err != nil {
		return err
	}
	defer s.close()
	old, _, err := s.start(*bin, "")
	if err != nil {
		return err
	}
	pending := 0
	if *wantPending > 0 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return err
		}
		for ; pending < *wantPending; pending++ {
			line, err := putMessage(c, fmt.Sprintf("h%015x", pending), 2)
			if err != nil {
				return err
			}
			if !strings.HasPrefix(line, "+OK") {
				break
			}
		}
		c.Close()
	}
	l := &loadGenerator{addr: s.listen}
	l.run(4, 2*time.Millisecond)
	var handoverTimes []time.Duration
	maxMemoryMB, readyTimes := 0.0, []time.Duration{}
	for range *turns {
		at := time.Now()
		next, _, err := s.start(*bin, "")
		if err != nil {
			return err
		}
		readyTimes = append(readyTimes, time.Since(at))
		maxMemoryMB = max(maxMemoryMB, old.residentMB()+next.residentMB())
		old.Signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			return err
		}
		for done := false; !done; {
			select {
			case line := <-old.LogLines:
				if m := handoverTime.FindStringSubmatch(line); m != nil {
					if d, err := time.ParseDuration(m[1]); err == nil {
						handoverTimes = append(handoverTimes, d)
					}
				}
			default:
				done = true
			}
		}
		old = next
	}
	close(l.stop)
	l.workers.Wait()
	old.Cmd.Process.Kill()
	old.Wait()
	slices.Sort(handoverTimes)
	slices.Sort(readyTimes)
	if len(handoverTimes) == 0 {
		return fmt.Errorf("no process reported a completed handover")
	}
	fmt.Printf("%d upgrades (%d by handover), %d held: %d messages answered, %d turned away, %d refused, %d reset, %d unread; longest without an answer %v; "+
		"step: median %v, longest %v; ready after %v at most; both %.1f MB at most\n", *turns, len(handoverTimes), pending,
		l.accepted.Load(), l.rejected.Load(), l.connRefused.Load(),
		l.reset.Load(), l.unread.Load(), l.maxAcceptedGap.Round(time.Millisecond),
		handoverTimes[len(handoverTimes)/2].Round(100*time.Microsecond),
		handoverTimes[len(handoverTimes)-1].Round(100*time.Microsecond),
		readyTimes[len(readyTimes)-1].Round(time.Millisecond), maxMemoryMB)
	return nil
}
