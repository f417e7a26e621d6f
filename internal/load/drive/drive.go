package drive

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/load"
)

// Options say what to play, and where.
type Options struct {
	Scenario    *load.Scenario
	RESP, HTTP  string        // addresses of the fronts; ends come over the latter
	Connections int           // of each front
	Drain       time.Duration // how long after the last message ends are waited for
	Run         string        // begins the ids of this run, so that two runs differ
	// Progress is told of the run about once a second; nil for nobody.
	Progress func(Progress)
}

// Progress is how a run stands.
type Progress struct {
	At                                time.Duration
	Sent, Accepted, Refused, InFlight int64
}

// Result is what a run has shown.
type Result struct {
	Recorder *load.Recorder
	Account  load.Account
	Faults   []load.Fault
	Found    int // faults in all
	Verdict  load.Verdict
	// Dropped messages were due while as many as the scenario allows were unanswered.
	// They were never handed in: the system had fallen behind for good.
	Dropped int64
	Took    time.Duration
	Broken  int64 // connections that broke, of clients and of the stream of ends
}

// run is a run under way.
type run struct {
	opts     Options
	start    time.Time
	mu       sync.Mutex // guards what follows
	ledger   load.Ledger
	due      []sent // by number, for ends
	mine     *load.Recorder
	inFlight atomic.Int64
	counts   struct{ sent, accepted, refused, dropped, broken atomic.Int64 }
	open     sync.WaitGroup // messages without an answer
}

// sent is what an end needs to know of its message.
type sent struct {
	due time.Duration
	key load.Key
}

// worker hands messages in over one front. It never makes the schedule wait.
type worker interface {
	put(m load.Message, k *load.Kind)
	// close gives up what is not answered, and returns what was recorded.
	close() *load.Recorder
}

// Run plays a scenario to its end, or until ctx is over; what was seen so far
// counts then too.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	r := &run{opts: opts, mine: load.NewRecorder()}
	fronts := map[string]worker{}
	for _, k := range opts.Scenario.Mix {
		if fronts[k.Front] != nil {
			continue
		}
		w, err := r.worker(k.Front)
		if err != nil {
			return nil, err
		}
		fronts[k.Front] = w
	}
	ends, stopEnds := context.WithCancel(context.Background())
	var following sync.WaitGroup
	defer following.Wait()
	defer stopEnds()
	if opts.HTTP != "" {
		ready := make(chan error, 1)
		following.Go(func() { r.follow(ends, ready) })
		if err := <-ready; err != nil {
			return nil, fmt.Errorf("the stream of ends: %w", err)
		}
	}
	r.start = time.Now()
	stopped := make(chan struct{})
	if opts.Progress != nil {
		following.Go(func() { r.progress(stopped) })
	}
	r.play(ctx, fronts)
	r.settle(ctx)
	close(stopped)
	took := time.Since(r.start)
	for _, w := range fronts {
		rec := w.close()
		r.mu.Lock()
		r.mine.Merge(rec)
		r.mu.Unlock()
	}
	stopEnds()
	following.Wait()
	return r.result(took), nil
}

func (o *Options) check() error {
	for i, k := range o.Scenario.Mix {
		if k.Front == "resp" && o.RESP == "" || k.Front == "http" && o.HTTP == "" {
			return fmt.Errorf("mix[%d].front: no address of a front %q is given", i, k.Front)
		}
	}
	if o.Connections < 1 {
		return errors.New("connections: must be at least 1")
	}
	if o.Run == "" || strings.Contains(o.Run, "-") {
		return errors.New("run: must be a name without a hyphen")
	}
	return nil
}

func (r *run) worker(front string) (worker, error) {
	if front == "http" {
		return newHTTP(r), nil
	}
	return newRESP(r)
}

// spin is how long before a message is due sleeping ends: timers are later than that
// only on a machine that is held up.
const spin = 2 * time.Millisecond

// play hands each message over when it is due.
func (r *run) play(ctx context.Context, fronts map[string]worker) {
	plan := r.opts.Scenario.Plan()
	for m, ok := plan.Next(); ok; m, ok = plan.Next() {
		at := r.start.Add(m.Due)
		if left := time.Until(at); left > spin {
			t := time.NewTimer(left - spin)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
		if ctx.Err() != nil {
			return
		}
		for time.Now().Before(at) {
			runtime.Gosched()
		}
		k := &r.opts.Scenario.Mix[m.Kind]
		r.mu.Lock()
		w := r.mine.Window(m.Due)
		w.Due++
		for len(r.due) <= m.N {
			r.due = append(r.due, sent{})
		}
		r.due[m.N] = sent{m.Due, load.Key{Phase: m.Phase, Class: k.Class, Partner: m.Partner, Tenant: k.Tenant}}
		n := r.inFlight.Add(1)
		w.InFlight = max(w.InFlight, n)
		dropped := n > int64(r.opts.Scenario.InFlight)
		if !dropped {
			r.ledger.Sent(m.N)
		}
		r.mu.Unlock()
		if dropped {
			r.inFlight.Add(-1)
			r.counts.dropped.Add(1)
			continue
		}
		r.counts.sent.Add(1)
		r.open.Add(1)
		fronts[k.Front].put(m, k)
	}
}

// settle waits until all is answered and ended, for as long as ends are waited for.
func (r *run) settle(ctx context.Context) {
	by := time.NewTimer(r.opts.Drain)
	defer by.Stop()
	answered := make(chan struct{})
	go func() { r.open.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-by.C:
		return
	case <-ctx.Done():
		return
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for r.opts.HTTP != "" && r.unended() > 0 {
		select {
		case <-tick.C:
		case <-by.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) unended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Open()
}

// verdict is what a front has answered.
type verdict int

const (
	taken verdict = iota
	turnedAway
	silent // no answer: whether it was taken on is not known
)

// answered notes the answer to a message, in the recorder of whoever heard it.
func (r *run) answered(rec *load.Recorder, m load.Message, k *load.Kind, v verdict) {
	took := time.Since(r.start) - m.Due
	r.mu.Lock()
	switch v {
	case silent:
		r.ledger.Unheard(m.N)
		r.mine.Window(m.Due).Unanswered++
	default:
		r.ledger.Answered(m.N, v == taken)
	}
	if v == turnedAway {
		r.mine.Window(m.Due).Refused++
	}
	r.mu.Unlock()
	switch v {
	case taken:
		r.counts.accepted.Add(1)
		rec.Accept(load.Key{Phase: m.Phase, Class: k.Class, Partner: m.Partner, Tenant: k.Tenant}, m.Due, took)
	case turnedAway:
		r.counts.refused.Add(1)
	}
	r.inFlight.Add(-1)
	r.open.Done()
}

func (r *run) id(n int) string { return r.opts.Run + "-" + strconv.Itoa(n) }

// number reads the number off an id of this run; false for another's.
func (r *run) number(id string) (int, bool) {
	rest, ok := strings.CutPrefix(id, r.opts.Run+"-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil && n >= 0
}

// ended notes the end of a message.
func (r *run) ended(id string, e load.End) {
	n, ok := r.number(id)
	if !ok {
		return
	}
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= len(r.due) {
		if n < 1<<30 {
			r.ledger.End(n, e) // a fault
		}
		return
	}
	if !r.ledger.End(n, e) {
		return
	}
	x := r.due[n]
	switch e {
	case load.Delivered:
		r.mine.Deliver(x.key, x.due, at-x.due)
	case load.Returned:
		r.mine.Window(x.due).Returned++
	case load.Failed:
		r.mine.Window(x.due).Failed++
	}
}

func (r *run) progress(stopped <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.opts.Progress(Progress{time.Since(r.start), r.counts.sent.Load(), r.counts.accepted.Load(), r.counts.refused.Load(), r.inFlight.Load()})
		case <-stopped:
			return
		}
	}
}

func (r *run) result(took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{Recorder: r.mine, Dropped: r.counts.dropped.Load(), Broken: r.counts.broken.Load(), Took: took}
	out.Account = r.ledger.Close(func(int) bool { return false })
	out.Faults, out.Found = r.ledger.Faults, r.ledger.Found
	out.Verdict = r.opts.Scenario.Judge(r.mine)
	return out
}
