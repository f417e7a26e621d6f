package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/logic"
)

// recordingTransport makes attempts that take until some more messages are submitted and have random outcomes, and records
// which messages were sent and may have run. It is a sink, too, which records how messages ended.
type recordingTransport struct {
	mu         sync.Mutex
	progressed sync.Cond // of mu: a message was submitted, or all were
	submitted  int
	done       bool
	mayHaveRun map[string]bool
	ended      map[string]string // state, by ID
	violations []string
}

// pause waits until a random number of further messages is submitted, or all are.
func (r *recordingTransport) pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for until := r.submitted + rand.IntN(4); r.submitted < until && !r.done; {
		r.progressed.Wait()
	}
}

// progress records that a message was submitted; done that it was the last one.
func (r *recordingTransport) progress(done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submitted++
	r.done = r.done || done
	r.progressed.Broadcast()
}

func (r *recordingTransport) send(a *Attempt, outcome logic.Outcome) Result {
	if !a.Begin() {
		return Result{Outcome: logic.NotSent}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := a.Message.ID
	if state := r.ended[id]; state != "" {
		r.violations = append(r.violations, fmt.Sprintf("%s was sent after its end as %s", id, state))
	}
	if mayHaveRun(outcome) {
		r.mayHaveRun[id] = true
	}
	return Result{Outcome: outcome}
}

func randomOutcome() logic.Outcome {
	return []logic.Outcome{logic.Completed, logic.Completed, logic.Overloaded, logic.ConnectionRefused, logic.Errored}[rand.IntN(5)]
}

func (r *recordingTransport) Attempt(_ context.Context, a *Attempt) Result {
	r.pause()
	result := r.send(a, randomOutcome())
	r.pause()
	return result
}

func (r *recordingTransport) Batch(_ context.Context, call []*Attempt) []Result {
	r.pause()
	outcome, out := randomOutcome(), make([]Result, len(call))
	for i, a := range call {
		out[i] = r.send(a, outcome)
	}
	r.pause()
	return out
}

func (r *recordingTransport) Probe(context.Context, logic.EndpointID, string) logic.Outcome {
	return logic.Completed
}
func (r *recordingTransport) CloseIdle(logic.EndpointID) {}
func (r *recordingTransport) CloseStale()                {}

func (r *recordingTransport) Add(_ *message.Message, end message.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end.State == message.Returned && r.mayHaveRun[end.ID] {
		r.violations = append(r.violations, end.ID+" was returned though it may have run")
	}
	r.ended[end.ID] = end.State
}

func (r *recordingTransport) Run(ctx context.Context, _ func([]string)) { <-ctx.Done() }

// Guards against an attempt that goes out after the end of its message, and a return of what may have run: messages are
// withdrawn at random moments, beside calls of several messages, submissions that come again and a disk that fails.
func TestWithdrawalsAtRandomMoments(t *testing.T) {
	const (
		length, clients    = 1500 * time.Millisecond, 6
		diskChangeInterval = 20 // messages of all clients from one change of the disk to the next, in the mean
	)
	recorder := &recordingTransport{mayHaveRun: map[string]bool{}, ended: map[string]string{}}
	recorder.progressed.L = &recorder.mu
	cfg := testConfig()
	cfg.Settings.MaxOpen, cfg.Settings.Kinds = 64, []logic.Kind{{Name: "std", MaxBatch: 4}}
	r := newRig(t, t.TempDir(), cfg, func(d *Dependencies) { d.Transport, d.Sink = recorder, recorder }).run()
	deadline := time.Now().Add(length)
	var all sync.WaitGroup
	withdrawn := make([]int, clients)
	for client := range clients {
		all.Go(func() {
			for i := 0; time.Now().Before(deadline); i++ {
				id := fmt.Sprintf("%d-%d", client, i)
				m := newMessage(id, []string{"safe", "keyed", "unsafe"}[rand.IntN(3)])
				status := r.submitAndWait(m).Status
				recorder.progress(false)
				if status != Accepted {
					r.store.setFailing(false) // else nothing is accepted any more
					continue
				}
				if rand.IntN(diskChangeInterval) == 0 {
					r.store.setFailing(rand.IntN(4) == 0)
				}
				if r.Withdraw(id, rand.IntN(2) == 0) {
					withdrawn[client]++
				}
				if again := r.submitAndWait(m); again.Status != Accepted || !again.Duplicate {
					t.Errorf("%s again: %+v", id, again)
				}
			}
		})
	}
	all.Wait()
	recorder.progress(true)
	r.store.setFailing(false)
	r.shutDown()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	total := 0
	for _, n := range withdrawn {
		total += n
	}
	if total == 0 {
		t.Error("nothing was withdrawn")
	}
	t.Logf("%d messages ended, %d were withdrawn", len(recorder.ended), total)
	for _, violation := range recorder.violations {
		t.Error(violation)
	}
}
