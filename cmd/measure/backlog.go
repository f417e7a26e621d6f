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

// measureBacklog measures a daemon whose partner has a large backlog on disk: the CPU
// time and memory for each further message, the restart, and the latency of messages
// to another partner meanwhile.
func measureBacklog(args []string) error {
	fs := flag.NewFlagSet("backlog", flag.ContinueOnError)
	bin := fs.String("bin", "bin/cometrack", "the daemon")
	messages := fs.Int("messages", 1_000_000, "pending messages of the partner")
	window := fs.Int("window", 1000, "messages of a partner in memory")
	bodySize := fs.Int("body", 200, "bytes of a body")
	rate := fs.Int("rate", 1000, "rate of the partner with the backlog in calls a second; 0 for no limit")
	syncPolicy := fs.String("sync", "never", "the daemon's store.sync")
	if err := fs.Parse(args); err != nil {
		return err
	}
	fmt.Printf("the decisions alone: %.1f bytes of heap for each of %d messages of one partner, %.1f with 670 partners\n",
		heapPerMessage(*messages, 1), *messages, heapPerMessage(*messages, 670))
	r := &backlogRun{bin: *bin, window: *window, body: bytes.Repeat([]byte("x"), *bodySize), bodySize: *bodySize,
		callRate: *rate, syncPolicy: *syncPolicy}
	return r.run(*messages)
}

// heapPerMessage returns the heap that package backlog needs for each message, in
// bytes, with all segments sealed.
func heapPerMessage(messages, partners int) float64 {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	b := backlog.New(backlog.Options{Window: 1})
	var queues []backlog.QueueID
	for i := range partners {
		name := fmt.Sprint("p", i)
		b.EnterWindow(name)
		queues = append(queues, b.Queue(backlog.Queue{Destination: name, Class: "safe"}))
	}
	const segment = 1 << 16
	for i := range messages {
		seq := uint64(i + segment)
		if i%segment == 0 {
			first, entries := b.Close()
			if entries != nil {
				_, byDeadline, runs := backlog.SortEntries(entries)
				b.Seal(first, byDeadline, runs)
			}
			b.Open(seq)
		}
		b.Add(backlog.Entry{Seq: seq, IDHash: seq * 0x9e3779b97f4a7c15, Queue: queues[i%partners], Deadline: int64(i)})
	}
	first, entries := b.Close()
	_, byDeadline, runs := backlog.SortEntries(entries)
	b.Seal(first, byDeadline, runs)
	perMessage := float64(heap()-before) / float64(messages)
	runtime.KeepAlive(b)
	return perMessage
}

// backlogRun is a daemon with a partner p0 that refuses connections and has the
// backlog, and a healthy partner p1 that receives probes.
type backlogRun struct {
	bin        string // path of the daemon
	window     int    // messages of a partner that the daemon keeps in memory
	bodySize   int    // bytes of each body
	callRate   int    // configured rate of p0 in calls a second; 0 for no limit
	syncPolicy string // the daemon's store.sync
	body       []byte // bodySize bytes

	proc        *process // the running daemon; a new one after killAndRestart
	configText  string   // configuration of the daemon
	backlogAddr string   // address of p0, which refuses connections at first
	submitted   int      // messages submitted for p0

	mu             sync.Mutex           // guards probeSentAt and probeLatencies
	probeSentAt    map[string]time.Time // by message id, until the call at p1
	probeLatencies []time.Duration      // of the current step, from the submission to the call at p1
	probeCount     int                  // probes submitted in all steps
	backlogCalls   atomic.Int64         // calls received by p0
}

// run fills the backlog of p0 up to so many messages, and prints the figures of each step: while it
// fills up, with a full backlog, after a kill, and once p0 accepts calls.
func (r *backlogRun) run(messages int) error {
	probeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer probeListener.Close()
	r.probeSentAt = map[string]time.Time{}
	go http.Serve(probeListener, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		at := time.Now()
		id := q.Header.Get("X-Trace-Id")
		r.mu.Lock()
		if sentAt, ok := r.probeSentAt[id]; ok {
			r.probeLatencies = append(r.probeLatencies, at.Sub(sentAt))
			delete(r.probeSentAt, id)
		}
		r.mu.Unlock()
	}))
	backlogEndpoint, err := reserveAddr()
	if err != nil {
		return err
	}
	r.backlogAddr = backlogEndpoint.addr
	rate := ""
	if r.callRate > 0 {
		rate = fmt.Sprintf("rate = %d\n", r.callRate)
	}
	r.configText = fmt.Sprintf("[limits]\nopen_messages = 100000000\nwindow = %d\nbacklog_mb = 16000\ndisk_mb = 1000\nmemory_mb = 1000\nattempts = 1000\nremembered = 10000\n"+
		"[store]\nsync = %q\n[front.resp]\nlisten = \"127.0.0.1:0\"\n[[class]]\nname = \"safe\"\neffect = \"safe\"\naim = \"10s\"\ndeadline = \"24h\"\n"+
		"[[partner]]\nname = \"p0\"\nendpoints = [%q]\n%s[[partner]]\nname = \"p1\"\nendpoints = [%q]\n", r.window,
		r.syncPolicy, r.backlogAddr, rate, probeListener.Addr())
	if r.proc, err = startDaemon(r.bin, r.configText); err != nil {
		return err
	}
	defer func() { r.proc.stop() }()
	freshMB := r.proc.residentMB()
	fmt.Printf("window %d, body %d, sync %s; fresh: %.1f MB resident\n", r.window, r.bodySize, r.syncPolicy, freshMB)
	if err := r.probeDuring("nothing held", func() error { time.Sleep(5 * time.Second); return nil }); err != nil {
		return err
	}
	const sampleMessages = 10_000 / pipelineDepth * pipelineDepth
	for _, pending := range []int{sampleMessages, messages / 10, messages} {
		if pending < r.submitted {
			continue
		}
		if pending > r.submitted {
			if err := r.probeDuring(fmt.Sprintf("taking on up to %d", pending), func() error {
				return r.submitToBacklog(pending - r.submitted)
			}); err != nil {
				return err
			}
		}
		const samples = 3
		var cpuPerMessage []float64
		for range samples {
			before := r.proc.cpuTime()
			if err := r.submitToBacklog(sampleMessages); err != nil {
				return err
			}
			cpuPerMessage = append(cpuPerMessage, float64((r.proc.cpuTime()-before).Microseconds())/sampleMessages)
		}
		slices.Sort(cpuPerMessage)
		fmt.Printf("held %d: %.1f µs of processor time for the next message (%.1f to %.1f, %d times %d), %.1f MB resident\n",
			pending, cpuPerMessage[samples/2], cpuPerMessage[0], cpuPerMessage[samples-1], samples, sampleMessages,
			r.proc.residentMB())
	}
	const target = 680 // events a second of one sender at the size of docs/CAPACITY.md
	if err := r.probeDuring(fmt.Sprint("all held, taking on ", target, " a second"), func() error {
		for range 50 {
			start := time.Now()
			if err := r.submitToBacklog(target / 10 / pipelineDepth * pipelineDepth); err != nil {
				return err
			}
			time.Sleep(time.Until(start.Add(100 * time.Millisecond)))
		}
		return nil
	}); err != nil {
		return err
	}
	if err := r.probeDuring("all held, nothing taken on",
		func() error { time.Sleep(5 * time.Second); return nil }); err != nil {
		return err
	}
	if err := r.killAndRestart(); err != nil {
		return err
	}
	ln, err := backlogEndpoint.listen()
	if err != nil {
		return err
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { r.backlogCalls.Add(1) }))
	time.Sleep(20 * time.Second) // until the outage is known to be over and slow start has ended
	callsBefore, cpuBefore, start := r.backlogCalls.Load(), r.proc.cpuTime(), time.Now()
	if err := r.probeDuring("p0 is back and takes all",
		func() error { time.Sleep(10 * time.Second); return nil }); err != nil {
		return err
	}
	calls, elapsed := r.backlogCalls.Load()-callsBefore, time.Since(start)
	fmt.Printf("p0 takes %.0f a second, %.1f µs of processor time each, %.1f MB resident\n",
		float64(calls)/elapsed.Seconds(), float64((r.proc.cpuTime()-cpuBefore).Microseconds())/float64(max(calls, 1)),
		r.proc.residentMB())
	return nil
}

// pipelineDepth is the number of messages submitted before their replies are read.
const pipelineDepth = 17

// submitToBacklog submits n messages for p0, rounded down to whole pipelines. It
// returns an error if one is not accepted.
func (r *backlogRun) submitToBacklog(n int) error {
	c, err := traffic.DialRESP(r.proc.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	for range n / pipelineDepth {
		for i := range pipelineDepth {
			if err := c.Put("0", fmt.Sprint("m", r.submitted+i), "c=safe,d=80000000,dest=p0", r.body); err != nil {
				return err
			}
		}
		for range pipelineDepth {
			if line, err := c.Answer(); err != nil || line != "+OK" {
				return fmt.Errorf("message not accepted: %q, %w", line, err)
			}
		}
		r.submitted += pipelineDepth
	}
	return nil
}

// probeDuring submits a message for p1 every 10 ms while work runs, and prints
// percentiles of the time from the submission to the call at p1. label names the step.
func (r *backlogRun) probeDuring(label string, work func() error) error {
	c, err := traffic.DialRESP(r.proc.Addrs[0])
	if err != nil {
		return err
	}
	defer c.Close()
	r.mu.Lock()
	r.probeLatencies = nil
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
			r.probeCount++
			id := fmt.Sprint("probe", r.probeCount)
			r.mu.Lock()
			r.probeSentAt[id] = time.Now()
			r.mu.Unlock()
			if err := c.Put("0", id, "c=safe,d=80000000,dest=p1", r.body); err != nil {
				done <- err
				return
			}
			if line, err := c.Answer(); err != nil || line != "+OK" {
				done <- fmt.Errorf("probe for p1 not accepted: %q, %w", line, err)
				return
			}
		}
	}()
	start := time.Now()
	err = work()
	close(stop)
	if err2 := <-done; err == nil {
		err = err2
	}
	elapsed := time.Since(start)
	time.Sleep(200 * time.Millisecond) // until the last probes have arrived
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.probeLatencies)
	if n := len(r.probeLatencies); n > 0 {
		fmt.Printf("%s (%.1f s): another partner's %d messages are there after p50 %.2f, p99 %.2f ms\n", label,
			elapsed.Seconds(), n,
			float64(r.probeLatencies[n/2].Microseconds())/1000, float64(r.probeLatencies[n*99/100].Microseconds())/1000)
	}
	return err
}

// killAndRestart kills the daemon with SIGKILL, starts it again, and prints the size of
// its backlog files and the cost of the start.
func (r *backlogRun) killAndRestart() error {
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
	fmt.Printf("killed with %d held, %.1f MB in %d files; ready after %.2f s with %.2f s of processor time, %.1f MB resident\n",
		r.submitted, float64(bytes)/1e6, files, time.Since(start).Seconds(), r.proc.cpuTime().Seconds(), r.proc.residentMB())
	return nil
}
