package platform

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
)

// quietWarnings is how often a failure of discovery is logged as a warning while it lasts; the others are at level debug.
const quietWarnings = 5 * time.Second

// follower makes the calls for the list at one address that a [poll.Poller] decides on, and tells what they bring.
type follower struct {
	poller *poll.Poller
	client *http.Client
	addr   string
	epoch  int
	tell   func(core.EndpointUpdate)
	log    *slog.Logger

	origin  time.Time // of the poller's times
	calls   map[int]context.CancelFunc
	steps   chan step
	results chan result
	tune    chan poll.Settings

	failing  time.Duration // when the first check failed since the last answer
	lastWarn time.Duration
}

// result is how a call ended.
type result struct {
	request poll.Request
	began   time.Duration
	list    List
	err     error
}

// step is how far a call has come: its request is written, or its answer has begun.
type step struct {
	id        int
	answering bool
}

// now is the time as the poller has it.
func (f *follower) now() time.Duration { return time.Since(f.origin) }

// run makes calls until ctx is over.
func (f *follower) run(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		now := f.now()
		for _, r := range f.poller.Tick(now) {
			f.begin(ctx, r, now)
		}
		if next := f.poller.NextTick(); next < poll.Never {
			due.Reset(next - now)
		} else {
			due.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case settings := <-f.tune:
			f.poller.UpdateSettings(settings)
		case s := <-f.steps:
			if s.answering {
				f.poller.ResponseStarted(f.now(), s.id)
			} else {
				f.poller.RequestSent(s.id)
			}
		case r := <-f.results:
			f.take(r)
		}
	}
}

// begin makes a call beside those that are out.
func (f *follower) begin(ctx context.Context, r poll.Request, now time.Duration) {
	calling, cancel := context.WithCancel(ctx)
	f.calls[r.ID] = cancel
	f.log.Debug("discovery: asked", "call", r.ID, "whole", r.Complete, "since", r.Since, "hold", r.Hold, "out", len(f.calls))
	go func() {
		came := func(answering bool) {
			select {
			case f.steps <- step{r.ID, answering}:
			case <-calling.Done():
			}
		}
		list, err := fetch(calling, f.client, listURL(f.addr, r), r.Limit, came)
		select {
		case f.results <- result{r, now, list, err}:
		case <-calling.Done():
		}
	}()
}

// end forgets a call.
func (f *follower) end(id int) {
	f.calls[id]()
	delete(f.calls, id)
}

// take hands on what a call has brought.
func (f *follower) take(r result) {
	if !f.poller.InFlight(r.request.ID) {
		return // given up for the answer of another
	}
	f.end(r.request.ID)
	now := f.now()
	if r.err != nil {
		f.poller.CallFailed(now, r.request.ID)
		f.failed(r, r.err, now)
		return
	}
	giveUp, err := f.poller.ResponseReceived(now, r.request.ID, poll.Response{Generation: r.list.Generation, Complete: r.list.Reset, Entries: len(r.list.Instances)})
	if err != nil {
		f.failed(r, err, now)
		return
	}
	for _, id := range giveUp {
		f.end(id)
	}
	f.answered(r, len(giveUp), now)
	f.tell(core.EndpointUpdate{List: r.list.EndpointList(), Version: r.list.Generation, Epoch: f.epoch})
}

// failed logs a failure; while discovery goes on failing, most of them quietly.
func (f *follower) failed(r result, err error, now time.Duration) {
	level := slog.LevelDebug
	if f.failing == 0 || now-f.lastWarn >= quietWarnings {
		level, f.lastWarn = slog.LevelWarn, now
	}
	if f.failing == 0 {
		f.failing = max(now, 1)
	}
	_, failures := f.poller.Checking()
	f.log.Log(context.Background(), level, "discovery", "err", err, "call", r.request.ID, "took", (now - r.began).Round(time.Millisecond), "out", len(f.calls),
		"failures", failures, "since", (now - f.failing).Round(time.Millisecond), "next", (f.poller.NextTick() - now).Round(time.Millisecond))
}

// answered logs an answer, and that discovery is back if it was not there.
func (f *follower) answered(r result, givenUp int, now time.Duration) {
	level, text := slog.LevelDebug, "discovery: answered"
	if f.failing > 0 {
		level, text = slog.LevelInfo, "discovery answers again"
	}
	f.log.Log(context.Background(), level, text, "call", r.request.ID, "took", (now - r.began).Round(time.Millisecond), "given up", givenUp,
		"generation", r.list.Generation, "whole", r.list.Reset, "entries", len(r.list.Instances), "after", (now - f.failing).Round(time.Millisecond))
	f.failing = 0
}
