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

// site is a platform of its own: a discovery that is silent, a partner that takes
// all (1) and one that is out (2), a folder and a configuration.
type site struct {
	dir, config, listen string
	hole                *sinkhole
	discovery           *httptest.Server
}

func newSite(limits map[string]any, maxOpen int) (*site, error) {
	s := &site{}
	var err error
	if s.hole, err = startSinkhole(); err != nil {
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
		return map[string]any{"instanceId": id, "hostPort": addr, "zone": "a", "machineType": "std", "cell": cell, "lifecycle": "up", "weight": 0}
	}
	conf, err := json.Marshal(map[string]any{"name": "n", "listen": s.listen, "discovery": strings.TrimPrefix(s.discovery.URL, "http://"), "seed": "1",
		"limits": limits, "known": map[string]any{"generation": 1, "reset": true, "instances": []any{row("s-1", s.hole.ln.Addr().String(), 1),
			row("s-2", "127.0.0.1:1", 2)}},
		"settings": json.RawMessage(strings.Replace(platformSettings, `"max_open":500`, fmt.Sprintf(`"max_open":%d`, maxOpen), 1))})
	if err != nil {
		return nil, err
	}
	s.config = filepath.Join(s.dir, "config.json")
	return s, os.WriteFile(s.config, conf, 0o600)
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// start runs a process with a console of its own. With a core, it runs there alone.
func (s *site) start(bin, core string) (p *process, console string, err error) {
	if console, err = freeAddr(); err != nil {
		return nil, "", err
	}
	args := []string{bin}
	if core != "" {
		args = []string{"taskset", "-c", core, bin}
	}
	x, err := program.Start(args[0], []string{"BALANCER_CONFIG=" + s.config, "BALANCER_STATE=" + filepath.Join(s.dir, "state"),
		"BALANCER_LISTEN=" + s.listen, "BALANCER_CONSOLE=" + console}, args[1:]...)
	if err != nil {
		return nil, "", err
	}
	return &process{x, s.dir}, console, nil
}

func (s *site) close() {
	s.discovery.CloseClientConnections()
	s.discovery.Close()
	s.hole.ln.Close()
	os.RemoveAll(s.dir)
}

// silent measures what connections cost that say nothing, in turns over programs.
func silent(args []string) error {
	fs := flag.NewFlagSet("silent", flag.ContinueOnError)
	n := fs.Int("connections", 2000, "connections")
	turns := fs.Int("turns", 5, "how often each program is measured")
	if err := fs.Parse(args); err != nil {
		return err
	}
	all := map[string][]float64{}
	for range *turns {
		for _, bin := range fs.Args() {
			s, err := newSite(map[string]any{"cores": 1, "memory_mb": 192, "sockets": 4*(*n) + 200, "disk_mb": 3}, 500)
			if err != nil {
				return err
			}
			p, _, err := s.start(bin, "")
			if err != nil {
				return err
			}
			fresh := p.memory()
			var conns []net.Conn
			for range *n {
				c, err := net.Dial("tcp", s.listen)
				if err != nil {
					return err
				}
				conns = append(conns, c)
			}
			time.Sleep(500 * time.Millisecond) // until all are accepted; they are closed after 2.3 s
			all[bin] = append(all[bin], (p.memory()-fresh)*(1<<20)/float64(*n))
			for _, c := range conns {
				c.Close()
			}
			p.Cmd.Process.Kill()
			p.Wait()
			s.close()
		}
	}
	for _, bin := range fs.Args() {
		v := all[bin]
		slices.Sort(v)
		fmt.Printf("%-30s %6.0f bytes of resident memory for each silent connection (median of %d; %.0f to %.0f)\n", bin, v[len(v)/2], len(v), v[0], v[len(v)-1])
	}
	return nil
}

// load hands messages in on new connections until stop, and counts what becomes of them.
type load struct {
	addr                   string
	ok, busy               atomic.Int64
	refused, reset, unread atomic.Int64
	mu                     sync.Mutex
	last                   time.Time
	gap                    time.Duration // longest between two answers
	next                   atomic.Int64
	stop                   chan struct{}
	workers                sync.WaitGroup
}

func (l *load) run(workers int, pause time.Duration) {
	l.stop, l.last = make(chan struct{}), time.Now()
	for range workers {
		l.workers.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				l.one()
				time.Sleep(pause)
			}
		})
	}
}

func (l *load) one() {
	c, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.refused.Add(1)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	line, err := putOn(c, fmt.Sprintf("l%015x", l.next.Add(1)), 1)
	switch {
	case err == io.EOF:
		l.unread.Add(1)
	case err != nil:
		l.reset.Add(1)
	case strings.HasPrefix(line, "+OK"):
		l.ok.Add(1)
		l.mu.Lock()
		now := time.Now()
		l.gap, l.last = max(l.gap, now.Sub(l.last)), now
		l.mu.Unlock()
	default:
		l.busy.Add(1)
	}
}

func putOn(c net.Conn, id string, dest int) (string, error) {
	opts := fmt.Sprintf("c=c,d=160000,dest=%d", dest)
	fmt.Fprintf(c, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(opts), opts, len(body), body)
	return bufio.NewReader(c).ReadString('\n')
}

// consoles measures the longest answer of a console under full load on one core,
// beside callers that say nothing.
func consoles(args []string) error {
	fs := flag.NewFlagSet("console", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the sender")
	calls := fs.Int("calls", 10_000, "calls")
	quiet := fs.Int("silent", 100, "callers that hold a connection and say nothing, half of them after half a call")
	core := fs.String("core", "0", "the core that the sender runs on")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s, err := newSite(map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, 5000)
	if err != nil {
		return err
	}
	defer s.close()
	p, console, err := s.start(*bin, *core)
	if err != nil {
		return err
	}
	defer p.Cmd.Process.Kill()
	l := &load{addr: s.listen}
	l.run(64, 0)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range *quiet {
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
				c.Read(make([]byte, 1)) // until it is cut off
				c.Close()
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	cpu, start := p.cpu(), time.Now()
	var took []time.Duration
	wrong := 0
	for range *calls {
		at := time.Now()
		c, err := net.Dial("tcp", console)
		if err != nil {
			wrong++
			continue
		}
		c.SetDeadline(at.Add(5 * time.Second))
		io.WriteString(c, "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != http.StatusOK {
			wrong++
		}
		took = append(took, time.Since(at))
		c.Close()
	}
	busy := (p.cpu() - cpu).Seconds() / time.Since(start).Seconds()
	close(stop)
	close(l.stop)
	l.workers.Wait()
	slices.Sort(took)
	fmt.Printf("%d calls beside %d silent callers and %.0f messages a second, %.0f%% of one core: median %v, 99th percentile %v, longest %v; %d wrong\n",
		*calls, *quiet, float64(l.ok.Load()+l.busy.Load())/time.Since(start).Seconds(), 100*busy, took[len(took)/2].Round(time.Microsecond),
		took[len(took)*99/100].Round(time.Microsecond), took[len(took)-1].Round(time.Microsecond), wrong)
	return nil
}

var tookText = regexp.MustCompile(`msg="handed over" .*took=(\S+)`)

// upgrades measures many upgrades in a row under load, with so many messages held.
func upgrades(args []string) error {
	fs := flag.NewFlagSet("upgrade", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the sender")
	turns := fs.Int("turns", 100, "upgrades")
	held := fs.Int("held", 1000, "messages that are held; as many as fit, if fewer do")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s, err := newSite(map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384, "disk_mb": 3}, 20_000)
	if err != nil {
		return err
	}
	defer s.close()
	old, _, err := s.start(*bin, "")
	if err != nil {
		return err
	}
	holds := 0
	if *held > 0 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return err
		}
		for ; holds < *held; holds++ {
			line, err := putOn(c, fmt.Sprintf("h%015x", holds), 2)
			if err != nil {
				return err
			}
			if !strings.HasPrefix(line, "+OK") {
				break
			}
		}
		c.Close()
	}
	l := &load{addr: s.listen}
	l.run(4, 2*time.Millisecond)
	var steps []time.Duration
	memory, ready := 0.0, []time.Duration{}
	for range *turns {
		at := time.Now()
		next, _, err := s.start(*bin, "")
		if err != nil {
			return err
		}
		ready = append(ready, time.Since(at))
		memory = max(memory, old.memory()+next.memory())
		old.Signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			return err
		}
		for done := false; !done; {
			select {
			case line := <-old.LogLines:
				if m := tookText.FindStringSubmatch(line); m != nil {
					if d, err := time.ParseDuration(m[1]); err == nil {
						steps = append(steps, d)
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
	slices.Sort(steps)
	slices.Sort(ready)
	if len(steps) == 0 {
		return fmt.Errorf("nothing was handed over")
	}
	fmt.Printf("%d upgrades (%d by handover), %d held: %d messages answered, %d turned away, %d refused, %d reset, %d unread; longest without an answer %v; "+
		"step: median %v, longest %v; ready after %v at most; both %.1f MB at most\n", *turns, len(steps), holds, l.ok.Load(), l.busy.Load(), l.refused.Load(),
		l.reset.Load(), l.unread.Load(), l.gap.Round(time.Millisecond), steps[len(steps)/2].Round(100*time.Microsecond),
		steps[len(steps)-1].Round(100*time.Microsecond), ready[len(ready)-1].Round(time.Millisecond), memory)
	return nil
}
