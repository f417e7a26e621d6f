package platform

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
)

// warnInterval is the least time between two warnings while discovery fails; other failures are logged at level debug.
const warnInterval = 5 * time.Second

// follower makes the calls for the list at one address that a [poll.Poller] decides on, and publishes the results.
type follower struct {
	poller  *poll.Poller
	client  *http.Client
	addr    string
	epoch   int
	publish func(core.EndpointUpdate)
	log     *slog.Logger

	origin      time.Time // zero of the poller's times
	cancels     map[int]context.CancelFunc
	progress    chan callProgress
	results     chan callResult
	newSettings chan poll.Settings

	failingSince time.Duration // when the first call failed since the last response; 0 if none did
	lastWarn     time.Duration
}

// callResult is the result of a call.
type callResult struct {
	request   poll.Request
	startedAt time.Duration
	list      List
	err       error
}

// callProgress reports that the request of a call has been written, or that its response has begun.
type callProgress struct {
	id         int
	responding bool
}

// now returns the time on the poller's clock.
func (f *follower) now() time.Duration { return time.Since(f.origin) }

// run makes calls until ctx ends.
func (f *follower) run(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		now := f.now()
		for _, r := range f.poller.Tick(now) {
			f.startCall(ctx, r, now)
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
		case settings := <-f.newSettings:
			f.poller.UpdateSettings(settings)
		case s := <-f.progress:
			if s.responding {
				f.poller.ResponseStarted(f.now(), s.id)
			} else {
				f.poller.RequestSent(s.id)
			}
		case r := <-f.results:
			f.handleResult(r)
		}
	}
}

// startCall starts a call in a goroutine. Beside a call that is not answered it gets a new connection: an idle one was
// open together with that call's, and may be silent together with it.
func (f *follower) startCall(ctx context.Context, r poll.Request, now time.Duration) {
	if len(f.cancels) > 0 {
		f.client.CloseIdleConnections()
	}
	callCtx, cancel := context.WithCancel(ctx)
	f.cancels[r.ID] = cancel
	f.log.Debug("discovery: call started", "call", r.ID, "whole", r.Complete, "since", r.Since, "hold", r.Hold, "out", len(f.cancels))
	go func() {
		onProgress := func(responding bool) {
			select {
			case f.progress <- callProgress{r.ID, responding}:
			case <-callCtx.Done():
			}
		}
		list, err := fetch(callCtx, f.client, listURL(f.addr, r), r.Limit, onProgress)
		select {
		case f.results <- callResult{r, now, list, err}:
		case <-callCtx.Done():
		}
	}()
}

// endCall cancels a call and removes it.
func (f *follower) endCall(id int) {
	f.cancels[id]()
	delete(f.cancels, id)
}

// handleResult passes the result of a call to the poller and publishes a list.
func (f *follower) handleResult(r callResult) {
	if !f.poller.InFlight(r.request.ID) {
		return // abandoned because another call was answered
	}
	f.endCall(r.request.ID)
	now := f.now()
	if r.err != nil {
		if errors.Is(r.err, context.DeadlineExceeded) {
			f.client.CloseIdleConnections() // they may be as silent as the call's
		}
		f.poller.CallFailed(now, r.request.ID)
		f.logFailure(r, r.err, now)
		return
	}
	abandoned, err := f.poller.ResponseReceived(now, r.request.ID, poll.Response{Generation: r.list.Generation, Complete: r.list.Reset, Entries: len(r.list.Instances)})
	if err != nil {
		f.logFailure(r, err, now)
		return
	}
	for _, id := range abandoned {
		f.endCall(id)
	}
	f.logResponse(r, len(abandoned), now)
	f.publish(core.EndpointUpdate{List: r.list.EndpointList(), Version: r.list.Generation, Epoch: f.epoch})
}

// logFailure logs a failure, as a warning if it is the first or warnInterval has passed since the last warning.
func (f *follower) logFailure(r callResult, err error, now time.Duration) {
	level := slog.LevelDebug
	if f.failingSince == 0 || now-f.lastWarn >= warnInterval {
		level, f.lastWarn = slog.LevelWarn, now
	}
	if f.failingSince == 0 {
		f.failingSince = max(now, 1)
	}
	_, failures := f.poller.Checking()
	f.log.Log(context.Background(), level, "discovery", "err", err, "call", r.request.ID, "took", (now - r.startedAt).Round(time.Millisecond), "out", len(f.cancels),
		"failures", failures, "since", (now - f.failingSince).Round(time.Millisecond), "next", (f.poller.NextTick() - now).Round(time.Millisecond))
}

// logResponse logs a response, at level info if discovery failed before.
func (f *follower) logResponse(r callResult, abandoned int, now time.Duration) {
	level, text := slog.LevelDebug, "discovery: response received"
	if f.failingSince > 0 {
		level, text = slog.LevelInfo, "discovery answers again"
	}
	f.log.Log(context.Background(), level, text, "call", r.request.ID, "took", (now - r.startedAt).Round(time.Millisecond), "given up", abandoned,
		"generation", r.list.Generation, "whole", r.list.Reset, "entries", len(r.list.Instances), "after", (now - f.failingSince).Round(time.Millisecond))
	f.failingSince = 0
}
