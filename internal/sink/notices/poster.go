package notices

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"
)

const (
	maxBatch = 256 // notices per post
	// maxPosts is the number of posts that may be unanswered at a time.
	maxPosts = 4
)

// poster posts the notices of a sink. All its fields are used by the goroutine of run only.
type poster struct {
	sink    *Sink
	confirm func(ids []string)
	url     string

	pending    []notice // not confirmed, oldest first
	batchLimit int      // notices per post; lower after a batch was refused
	schedule   schedule
	open       []*openPost // unanswered posts, oldest first
	results    chan postResult
}

// openPost is a post without a result. It holds the first of the pending notices: they stay the same until
// one of the posts is answered, which cancels the others.
type openPost struct {
	count  int // notices
	cancel context.CancelFunc
}

// postResult is the result of a post.
type postResult struct {
	post     *openPost
	response response
	err      error
}

// newPoster returns a poster that calls confirm with the IDs of received notices.
func newPoster(sink *Sink, confirm func(ids []string)) *poster {
	return &poster{sink: sink, confirm: confirm, batchLimit: maxBatch, results: make(chan postResult)}
}

// run posts until ctx is done.
func (p *poster) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		p.takeQueued()
		if len(p.pending) > 0 {
			if now := time.Now(); !now.Before(p.schedule.dueAt) {
				p.startRound(ctx, now)
			}
			timer.Reset(time.Until(p.schedule.dueAt))
		}
		select {
		case <-ctx.Done():
			return
		case <-p.sink.wake:
		case <-timer.C:
		case result := <-p.results:
			p.handleResult(result)
		}
	}
}

// takeQueued takes the queued notices. If the address has changed, the pending notices are posted anew.
func (p *poster) takeQueued() {
	queued, url := p.sink.take()
	p.pending = append(p.pending, queued...)
	if len(queued) > 0 {
		p.schedule.noticesAdded()
	}
	if p.url != url {
		p.url = url
		p.cancelOpen()
		p.schedule.restart()
	}
}

// startRound begins the posts of a round.
func (p *poster) startRound(ctx context.Context, now time.Time) {
	if len(p.open) > 0 {
		level := slog.LevelDebug
		if p.schedule.rounds == 1 {
			level = slog.LevelWarn
		}
		p.sink.log.Log(ctx, level, "notices: no answer yet, posted again", "lines", len(p.pending), "round", p.schedule.rounds, "out", len(p.open))
	}
	for range p.schedule.postCount(len(p.open)) {
		p.startPost(ctx)
	}
	p.schedule.roundStarted(now)
}

// startPost begins a post of the first pending notices. With too many posts open it cancels the second
// oldest: the oldest has the best chance at a platform that is slow.
func (p *poster) startPost(ctx context.Context) {
	if len(p.open) >= maxPosts {
		p.open[1].cancel()
		p.open = slices.Delete(p.open, 1, 2)
	}
	batch := p.pending[:min(len(p.pending), p.batchLimit)]
	body := encode(batch)
	postCtx, cancel := context.WithTimeout(ctx, postTimeout)
	post := &openPost{len(batch), cancel}
	p.open = append(p.open, post)
	url := p.url
	go func() {
		defer cancel()
		got, err := send(postCtx, p.sink.client, url, body)
		select {
		case p.results <- postResult{post, got, err}:
		case <-ctx.Done():
		}
	}()
}

// cancelOpen cancels all open posts, whose connections are closed by that.
func (p *poster) cancelOpen() {
	for _, post := range p.open {
		post.cancel()
	}
	p.open = nil
}

// handleResult handles the result of a post.
func (p *poster) handleResult(r postResult) {
	i := slices.Index(p.open, r.post)
	if i < 0 {
		return // cancelled
	}
	p.open = slices.Delete(p.open, i, i+1)
	if r.err == nil {
		p.schedule.postAnswered(r.response.latency)
	}
	switch {
	case r.err == nil && r.response.status == http.StatusNoContent:
		p.logAnswer(slog.LevelDebug, "notices confirmed", r)
		p.batchLimit = min(2*p.batchLimit, maxBatch)
		p.finish(r.post.count)
	case r.err == nil && r.response.status == http.StatusBadRequest:
		p.logAnswer(slog.LevelWarn, "notices refused", r)
		p.handleRefusal(r.post.count)
	default:
		p.logAnswer(slog.LevelWarn, "notices not confirmed", r)
		p.schedule.postFailed(time.Now())
	}
}

// handleRefusal handles the refusal of a batch. Repeating it is useless, and one invalid notice must not hold
// up the others: the batch is halved until the invalid one is posted alone, which is dropped.
func (p *poster) handleRefusal(count int) {
	if count == 1 {
		p.sink.log.Error("notice rejected as invalid, dropped", "id", p.pending[0].ID)
		p.finish(count)
		return
	}
	p.batchLimit = count / 2
	p.cancelOpen()
	p.schedule.restart()
}

// finish removes the first pending notices, and confirms them.
func (p *poster) finish(count int) {
	ids := idsOf(p.pending[:count])
	p.pending = p.pending[count:]
	p.cancelOpen()
	p.schedule.restart()
	p.confirm(ids)
}

// logAnswer logs the result of a post.
func (p *poster) logAnswer(level slog.Level, text string, r postResult) {
	p.sink.log.Log(context.Background(), level, text, "lines", r.post.count, "status", r.response.status, "err", r.err,
		"round", p.schedule.rounds, "out", len(p.open), "latency", r.response.latency, "reused", r.response.reused,
		"conn_age", r.response.connAge)
}

// idsOf returns the message IDs of notices.
func idsOf(list []notice) []string {
	ids := make([]string, len(list))
	for i, entry := range list {
		ids[i] = entry.ID
	}
	return ids
}
