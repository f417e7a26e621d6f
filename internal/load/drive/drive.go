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

// Options are the scenario to play and the daemon's addresses.
type Options struct {
	Scenario     *load.Scenario
	RESP, HTTP   string        // addresses of the fronts; ends arrive over HTTP
	Connections  int           // number to each front
	DrainTimeout time.Duration // how long to wait for replies and ends after the last message
	RunID        string        // prefix of the ids of this run; it must differ between runs
	// Progress is called about once a second if it is not nil.
	Progress func(Progress)
}

// Progress is the state of a run that has not ended.
type Progress struct {
	Elapsed                           time.Duration
	Sent, Accepted, Refused, InFlight int64
}

// Result is the outcome of a run.
type Result struct {
	Recorder   *load.Recorder
	Account    load.Account
	Faults     []load.Fault
	FaultCount int // number of all faults
	Verdict    load.Verdict
	// Dropped is the number of messages that were due while as many as the scenario allows were
	// unanswered. They were never submitted: the system had fallen behind.
	Dropped           int64
	Elapsed           time.Duration
	BrokenConnections int64 // number of connections that broke, including streams of ends
}

// run is the state of a run.
type run struct {
	opts        Options
	start       time.Time
	mu          sync.Mutex // guards ledger, submissions and recorder
	ledger      load.Ledger
	submissions []submission // by the number of the message
	recorder    *load.Recorder
	inFlight    atomic.Int64
	counts      struct{ sent, accepted, refused, dropped, broken atomic.Int64 }
	unanswered  sync.WaitGroup // counts messages without a reply
}

// submission has the data of a message that are needed to record its end.
type submission struct {
	due time.Duration
	key load.Key
}

// worker submits messages over one front. It never delays the schedule.
type worker interface {
	submit(m load.Message, k *load.Kind)
	// close abandons the messages without a reply and returns what was recorded.
	close() *load.Recorder
}

// Run plays a scenario to its end or until ctx is cancelled, and returns the result so far in
// both cases. It returns an error if the options are not valid or a front can't be reached.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	r := &run{opts: opts, recorder: load.NewRecorder()}
	workers := map[string]worker{}
	for _, k := range opts.Scenario.Mix {
		if workers[k.Front] != nil {
			continue
		}
		w, err := r.worker(k.Front)
		if err != nil {
			return nil, err
		}
		workers[k.Front] = w
	}
	endsCtx, stopEnds := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer stopEnds()
	if opts.HTTP != "" {
		ready := make(chan error, 1)
		background.Go(func() { r.follow(endsCtx, ready) })
		if err := <-ready; err != nil {
			return nil, fmt.Errorf("the stream of ends: %w", err)
		}
	}
	r.start = time.Now()
	stopped := make(chan struct{})
	if opts.Progress != nil {
		background.Go(func() { r.progress(stopped) })
	}
	r.play(ctx, workers)
	r.settle(ctx)
	close(stopped)
	elapsed := time.Since(r.start)
	for _, w := range workers {
		rec := w.close()
		r.mu.Lock()
		r.recorder.Merge(rec)
		r.mu.Unlock()
	}
	stopEnds()
	background.Wait()
	return r.result(elapsed), nil
}

// check returns an error if the options are not valid.
func (o *Options) check() error {
	for i, k := range o.Scenario.Mix {
		if k.Front == "resp" && o.RESP == "" || k.Front == "http" && o.HTTP == "" {
			return fmt.Errorf("mix[%d].front: no address of a front %q is given", i, k.Front)
		}
	}
	if o.Connections < 1 {
		return errors.New("connections: must be at least 1")
	}
	if o.RunID == "" || strings.Contains(o.RunID, "-") {
		return errors.New("run: must be a name without a hyphen")
	}
	return nil
}

// worker connects to a front.
func (r *run) worker(front string) (worker, error) {
	if front == "http" {
		return newHTTP(r), nil
	}
	return newRESP(r)
}

// spinTime is how long before a message is due play stops sleeping and polls the clock. It
// exceeds the usual lateness of timers, unless the machine is overloaded.
const spinTime = 2 * time.Millisecond

// play submits each message when it is due.
func (r *run) play(ctx context.Context, workers map[string]worker) {
	plan := r.opts.Scenario.Plan()
	for m, ok := plan.Next(); ok; m, ok = plan.Next() {
		due := r.start.Add(m.Due)
		if remaining := time.Until(due); remaining > spinTime {
			t := time.NewTimer(remaining - spinTime)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
		if ctx.Err() != nil {
			return
		}
		for time.Now().Before(due) {
			runtime.Gosched()
		}
		k := &r.opts.Scenario.Mix[m.Kind]
		r.mu.Lock()
		w := r.recorder.Window(m.Due)
		w.Due++
		for len(r.submissions) <= m.Number {
			r.submissions = append(r.submissions, submission{})
		}
		r.submissions[m.Number] = submission{m.Due,
			load.Key{Phase: m.Phase, Class: k.Class, Partner: m.Partner, Tenant: k.Tenant}}
		n := r.inFlight.Add(1)
		w.InFlight = max(w.InFlight, n)
		dropped := n > int64(r.opts.Scenario.InFlight)
		if !dropped {
			r.ledger.Sent(m.Number)
		}
		r.mu.Unlock()
		if dropped {
			r.inFlight.Add(-1)
			r.counts.dropped.Add(1)
			continue
		}
		r.counts.sent.Add(1)
		r.unanswered.Add(1)
		workers[k.Front].submit(m, k)
	}
}

// settle waits until all messages have a reply and an end, for at most DrainTimeout.
func (r *run) settle(ctx context.Context) {
	timeout := time.NewTimer(r.opts.DrainTimeout)
	defer timeout.Stop()
	answered := make(chan struct{})
	go func() { r.unanswered.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for r.opts.HTTP != "" && r.openCount() > 0 {
		select {
		case <-tick.C:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// openCount returns the number of accepted messages without an end.
func (r *run) openCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.OpenCount()
}

// answer is the reply of a front.
type answer int

const (
	accepted answer = iota
	rejected
	noAnswer // no reply: the message may have been accepted or not
)

// answered records the reply to a message. rec is the recorder of the goroutine that read it.
func (r *run) answered(rec *load.Recorder, m load.Message, k *load.Kind, reply answer) {
	latency := time.Since(r.start) - m.Due
	r.mu.Lock()
	switch reply {
	case noAnswer:
		r.ledger.Unanswered(m.Number)
		r.recorder.Window(m.Due).Unanswered++
	default:
		r.ledger.Answered(m.Number, reply == accepted)
	}
	if reply == rejected {
		r.recorder.Window(m.Due).Refused++
	}
	r.mu.Unlock()
	switch reply {
	case accepted:
		r.counts.accepted.Add(1)
		rec.RecordAcceptance(
			load.Key{Phase: m.Phase, Class: k.Class, Partner: m.Partner, Tenant: k.Tenant}, m.Due, latency)
	case rejected:
		r.counts.refused.Add(1)
	}
	r.inFlight.Add(-1)
	r.unanswered.Done()
}

// id returns the id of a message.
func (r *run) id(n int) string { return r.opts.RunID + "-" + strconv.Itoa(n) }

// number returns the number of a message by its id. It returns false for an id of another run.
func (r *run) number(id string) (int, bool) {
	digits, ok := strings.CutPrefix(id, r.opts.RunID+"-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n >= 0
}

// ended records the end of a message.
func (r *run) ended(id string, e load.End) {
	n, ok := r.number(id)
	if !ok {
		return
	}
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= len(r.submissions) {
		if n < 1<<30 {
			r.ledger.End(n, e) // which is a fault: it was never submitted
		}
		return
	}
	if !r.ledger.End(n, e) {
		return
	}
	x := r.submissions[n]
	switch e {
	case load.Delivered:
		r.recorder.RecordDelivery(x.key, x.due, at-x.due)
	case load.Returned:
		r.recorder.Window(x.due).Returned++
	case load.Failed:
		r.recorder.Window(x.due).Failed++
	}
}

// progress reports the state of the run once a second until stopped is closed.
func (r *run) progress(stopped <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.opts.Progress(Progress{time.Since(r.start),
				r.counts.sent.Load(), r.counts.accepted.Load(), r.counts.refused.Load(), r.inFlight.Load()})
		case <-stopped:
			return
		}
	}
}

// result returns the result of a run that has ended.
func (r *run) result(elapsed time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{Recorder: r.recorder, Dropped: r.counts.dropped.Load(), BrokenConnections: r.counts.broken.Load(),
		Elapsed: elapsed}
	out.Account = r.ledger.Close(func(int) bool { return false })
	out.Faults, out.FaultCount = r.ledger.Faults, r.ledger.FaultCount
	out.Verdict = r.opts.Scenario.CheckLateness(r.recorder)
	return out
}
