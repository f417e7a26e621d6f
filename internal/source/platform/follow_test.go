package platform

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/core"
	"cometrack/logic"
)

// follower has the module say when a source is to ask again, as the core does.
type follower struct {
	told atomic.Int64 // when the module was first told of a failure, in nanoseconds since the start; 0 for never
	stop context.CancelFunc
}

// follow has a source followed, with the module's chance drawn from seed, until stop is called.
func follow(t *testing.T, s *Source, seed uint64) *follower {
	t.Helper()
	m, err := logic.New(logic.Settings{Senders: 300, Zones: 1, Slots: 1, MaxOpen: 1, MaxTries: 1, Tick: 1000, OnRequest: !s.pushed,
		AskWithin: 10 * logic.Second, Classes: []logic.Class{{Name: "a", Deadline: logic.Second, Worth: 1}}}, seed)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	f, start, news := &follower{stop: stop}, time.Now(), make(chan core.News, 16)
	tell := func(n core.News) {
		select {
		case news <- n:
		case <-ctx.Done():
		}
	}
	if s.pushed {
		s.Watch(ctx, tell)
	}
	go func() {
		due := time.NewTimer(0) // the first step
		for token := uint64(0); ; {
			var events []logic.Event
			select {
			case <-ctx.Done():
				return
			case <-due.C:
				events = append(events, logic.Due{Token: token})
			case n := <-news:
				if !s.Takes(n) {
					continue
				}
				if n.Err == nil {
					events = append(events, logic.Endpoints{Form: logic.ListDelta})
					break
				}
				f.told.CompareAndSwap(0, int64(max(time.Since(start), 1)))
				events = append(events, logic.Endpoints{Form: logic.ListFailed, Took: logic.Micros(n.Took / time.Microsecond)})
			}
			for _, a := range m.Step(logic.Micros(time.Since(start)/time.Microsecond), events) {
				switch a := a.(type) {
				case logic.Listen:
					s.Watch(ctx, tell)
				case logic.SetTimer:
					due.Reset(time.Duration(a.Wait) * time.Microsecond)
					token = a.Token
				}
			}
		}
	}()
	return f
}
