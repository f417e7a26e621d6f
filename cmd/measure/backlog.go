package main

import (
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometrack/internal/backlog"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

// backlogged measures a daemon with a window: what the next message costs while many
// are behind it, in processor time and memory, the restart, and what another partner
// notices of it.
func backlogged(args []string) error {
	fs := flag.NewFlagSet("backlog", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the daemon")
	most := fs.Int("messages", 1_000_000, "messages that are held")
	window := fs.Int("window", 1000, "messages of a partner in memory")
	size := fs.Int("body", 200, "bytes of a body")
	rate := fs.Int("rate", 1000, "calls a second that the partner with the backlog takes; 0 for any number")
	sync := fs.String("sync", "never", "when the daemon syncs")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Printf("the decisions alone: %.1f bytes of heap for each of %d messages of one partner, %.1f with 670 partners\n", heapEach(*most, 1), *most, heapEach(*most, 670))
	r := &backlogRun{bin: *bin, window: *window, body: bytes.Repeat([]byte("x"), *size), size: *size, rate: *rate, sync: *sync}
	return r.play(*most)
}

// heapEach is what the decisions hold for each message, in bytes, with all segments but the last sealed.
func heapEach(n, partners int) float64 {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	b := backlog.New(backlog.Options{Window: 1})
	var lanes []backlog.QueueID
	for i := range partners {
		name := fmt.Sprint("p", i)
		b.EnterWindow(name)
		lanes = append(lanes, b.Queue(backlog.Queue{Destination: name, Class: "safe"}))
	}
	const segment = 1 << 16
	for i := range n {
		seq := uint64(i + segment)
		if i%segment == 0 {
			first, entries := b.Close()
			if entries != nil {
				_, byDeadline, runs := backlog.SortEntries(entries)
				b.Seal(first, byDeadline, runs)
			}
			b.Open(seq)
		}
		b.Add(backlog.Entry{Seq: seq, IDHash: seq * 0x9e3779b97f4a7c15, Queue: lanes[i%partners], Deadline: int64(i)})
	}
	first, entries := b.Close()
	_, byDeadline, runs := backlog.SortEntries(entries)
	b.Seal(first, byDeadline, runs)
	each := float64(heap()-before) / float64(n)
	runtime.KeepAlive(b)
	return each
}

// backlogRun is a daemon, a partner p0 that is out and a partner p1 that is well.
type backlogRun struct {
	bin    string
	window int
	size   int
	rate   int
	sync   string
	body   []byte

	proc *process
	text string
	out  string // where p0 listens, once it does
	next int

	mu      sync.Mutex
	sent    map[string]time.Time
	took    []time.Duration
	probes  int
	arrived atomic.Int64 // at p0
}

func (r *backlogRun) play(most int) error {
	well, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer well.Close()
	r.sent = map[string]time.Time{}
	go http.Serve(well, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		at := time.Now()
		id := q.Header.Get("X-Trace-Id")
		r.mu.Lock()
		if from, ok := r.sent[id]; ok {
			r.took = append(r.took, at.Sub(from))
			delete(r.sent, id)
		}
		r.mu.Unlock()
	}))
	out, err := reserve()
	if err != nil {
		return err
	}
	r.out = out.addr
	rate := ""
	if r.rate > 0 {
		rate = fmt.Sprintf("rate = %d\n", r.rate)
	}
	r.text = fmt.Sprintf("[limits]\nopen_messages = 100000000\nwindow = %d\nbacklog_mb = 16000\ndisk_mb = 1000\nmemory_mb = 1000\nattempts = 1000\nremembered = 10000\n"+
		"[store]\nsync = %q\n[front.resp]\nlisten = \"127.0.0.1:0\"\n[[class]]\nname = \"safe\"\neffect = \"safe\"\naim = \"10s\"\ndeadline = \"24h\"\n"+
		"[[partner]]\nname = \"p0\"\nendpoints = [%q]\n%s[[partner]]\nname = \"p1\"\nendpoints = [%q]\n", r.window, r.sync, r.out, rate, well.Addr())
	if r.proc, err = startDaemon(r.bin, r.text); err != nil {
		return err
	}
	defer func() { r.proc.stop() }()
	fresh := r.proc.memory()
	fmt.Printf("window %d, body %d, sync %s; fresh: %.1f MB resident\n", r.window, r.size, r.sync, fresh)
	if err := r.watch("nothing held", func() error { time.Sleep(5 * time.Second); return nil }); err != nil {
		return err
	}
	const step = 10_000 / pipelined * pipelined
	for _, held := range []int{step, most / 10, most} {
		if held < r.next {
			continue
		}
		if held > r.next {
			if err := r.watch(fmt.Sprintf("taking on up to %d", held), func() error { return r.hold(held - r.next) }); err != nil {
				return err
			}
		}
		const turns = 3
		var each []float64
		for range turns {
			before := r.proc.cpu()
			if err := r.hold(step); err != nil {
				return err
			}
			each = append(each, float64((r.proc.cpu()-before).Microseconds())/step)
		}
		slices.Sort(each)
		fmt.Printf("held %d: %.1f µs of processor time for the next message (%.1f to %.1f, %d times %d), %.1f MB resident\n", held,
			each[turns/2], each[0], each[turns-1], turns, step, r.proc.memory())
	}
	const target = 680 // events a second that a sender takes at the size of docs/CAPACITY.md
	if err := r.watch(fmt.Sprint("all held, taking on ", target, " a second"), func() error {
		for range 50 {
			start := time.Now()
			if err := r.hold(target / 10 / pipelined * pipelined); err != nil {
				return err
			}
			time.Sleep(time.Until(start.Add(100 * time.Millisecond)))
		}
		return nil
	}); err != nil {
		return err
	}
	if err := r.watch("all held, nothing taken on", func() error { time.Sleep(5 * time.Second); return nil }); err != nil {
		return err
	}
	if err := r.restart(); err != nil {
		return err
	}
	ln, err := out.listen()
	if err != nil {
		return err
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { r.arrived.Add(1) }))
	time.Sleep(20 * time.Second) // it is found back and warmed
	n, cpu, start := r.arrived.Load(), r.proc.cpu(), time.Now()
	if err := r.watch("p0 is back and takes all", func() error { time.Sleep(10 * time.Second); return nil }); err != nil {
		return err
	}
	got, took := r.arrived.Load()-n, time.Since(start)
	fmt.Printf("p0 takes %.0f a second, %.1f µs of processor time each, %.1f MB resident\n", float64(got)/took.Seconds(),
		float64((r.proc.cpu()-cpu).Microseconds())/float64(max(got, 1)), r.proc.memory())
	return nil
}

// pipelined messages are handed in at once.
const pipelined = 17

// hold has so many messages taken on for p0.
func (r *backlogRun) hold(n int) error {
	c, err := traffic.DialRESP(r.proc.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	for range n / pipelined {
		for i := range pipelined {
			if err := c.Put("0", fmt.Sprint("m", r.next+i), "c=safe,d=80000000,dest=p0", r.body); err != nil {
				return err
			}
		}
		for range pipelined {
			if line, err := c.Answer(); err != nil || line != "+OK" {
				return fmt.Errorf("not taken on: %q, %w", line, err)
			}
		}
		r.next += pipelined
	}
	return nil
}

// watch sends p1 a message every 10 ms while do runs, and tells how long they took from being handed in to being there.
func (r *backlogRun) watch(what string, do func() error) error {
	c, err := traffic.DialRESP(r.proc.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	r.mu.Lock()
	r.took = nil
	r.mu.Unlock()
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				done <- nil
				return
			case <-tick.C:
			}
			r.probes++
			id := fmt.Sprint("probe", r.probes)
			r.mu.Lock()
			r.sent[id] = time.Now()
			r.mu.Unlock()
			if err := c.Put("0", id, "c=safe,d=80000000,dest=p1", r.body); err != nil {
				done <- err
				return
			}
			if line, err := c.Answer(); err != nil || line != "+OK" {
				done <- fmt.Errorf("a message for p1 is not taken on: %q, %w", line, err)
				return
			}
		}
	}()
	start := time.Now()
	err = do()
	close(stop)
	if err2 := <-done; err == nil {
		err = err2
	}
	took := time.Since(start)
	time.Sleep(200 * time.Millisecond) // the last ones are on their way
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.took)
	if n := len(r.took); n > 0 {
		fmt.Printf("%s (%.1f s): another partner's %d messages are there after p50 %.2f, p99 %.2f ms\n", what, took.Seconds(), n,
			float64(r.took[n/2].Microseconds())/1000, float64(r.took[n*99/100].Microseconds())/1000)
	}
	return err
}

// restart kills the daemon and starts it again.
func (r *backlogRun) restart() error {
	r.proc.Signal(syscall.SIGKILL)
	r.proc.Wait()
	files, bytes := 0, int64(0)
	filepath.WalkDir(filepath.Join(r.proc.dir, "state"), func(path string, d os.DirEntry, err error) error {
		if err == nil && strings.Contains(path, "backlog") && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				files, bytes = files+1, bytes+info.Size()
			}
		}
		return nil
	})
	start := time.Now()
	p, err := program.Start(r.bin, nil, "serve", "--config", filepath.Join(r.proc.dir, "config.toml"))
	if err != nil {
		return err
	}
	r.proc = &process{p, r.proc.dir}
	fmt.Printf("killed with %d held, %.1f MB in %d files; ready after %.2f s with %.2f s of processor time, %.1f MB resident\n", r.next, float64(bytes)/1e6, files,
		time.Since(start).Seconds(), r.proc.cpu().Seconds(), r.proc.memory())
	return nil
}
