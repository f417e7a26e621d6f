package notices

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/silence"
)

// noticeDue is how long after the end of a message its notice may be received ("The rules on sockets").
const noticeDue = 300 * time.Millisecond

// receiver is a stand-in for the platform that records when it first received each notice. Its connections
// can fall silent.
type receiver struct {
	t         *testing.T
	ln        *silence.Listener
	addr      string
	answerIn  time.Duration // from the whole request to the response
	invalidID string        // a batch with this notice is answered 400

	mu        sync.Mutex
	notices   map[string]time.Time // when each was first received
	confirmed map[string]bool
	posts     []postTimes // that have ended
}

// postTimes are the times of a post at the receiver.
type postTimes struct{ receivedAt, endedAt time.Time }

// closeDelay is by how much the receiver may observe the end of a connection late.
const closeDelay = 20 * time.Millisecond

// maxOpenPosts returns the highest number of posts that were open at a time.
func (r *receiver) maxOpenPosts() (most int) {
	for _, x := range r.posts {
		open := 0
		for _, other := range r.posts {
			if !other.receivedAt.After(x.receivedAt) && other.endedAt.Add(-closeDelay).After(x.receivedAt) {
				open++
			}
		}
		most = max(most, open)
	}
	return most
}

// newReceiver starts a receiver that listens until the test has ended.
func newReceiver(t *testing.T) *receiver {
	t.Helper()
	r := &receiver{t: t, notices: map[string]time.Time{}, confirmed: map[string]bool{}}
	srv := httptest.NewUnstartedServer(r)
	r.ln = silence.Listen(srv.Listener)
	srv.Listener = r.ln
	srv.Start()
	r.addr = r.ln.Addr().String()
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return r
}

// ServeHTTP receives notices.
func (r *receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	at := time.Now()
	status := http.StatusNoContent
	r.mu.Lock()
	for in := json.NewDecoder(bytes.NewReader(body)); in.More(); {
		var n notice
		if in.Decode(&n) != nil || n.ID == r.invalidID {
			status = http.StatusBadRequest
		}
	}
	for in := json.NewDecoder(bytes.NewReader(body)); status == http.StatusNoContent && in.More(); {
		var n notice
		in.Decode(&n)
		if r.notices[n.ID].IsZero() {
			r.notices[n.ID] = at
		}
	}
	answerIn := r.answerIn
	r.mu.Unlock()
	select {
	case <-time.After(answerIn):
	case <-req.Context().Done():
	}
	r.mu.Lock()
	r.posts = append(r.posts, postTimes{at, time.Now()})
	r.mu.Unlock()
	w.WriteHeader(status)
}

// receivedAt returns when a notice was first received; the zero time for never.
func (r *receiver) receivedAt(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices[id]
}

// confirm records confirmed notices.
func (r *receiver) confirm(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.confirmed[id] = true
	}
}

// isConfirmed reports whether a notice was confirmed to the sink's user.
func (r *receiver) isConfirmed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[id]
}

// startSink runs a sink that posts to the receiver, and waits until its spare connection is up.
func (r *receiver) startSink() *Sink {
	r.t.Helper()
	sink := New(r.addr, slog.New(slog.DiscardHandler))
	go sink.Run(r.t.Context(), r.confirm)
	r.awaitSpare(sink)
	return sink
}

// awaitSpare waits until the receiver has accepted the sink's spare connection.
func (r *receiver) awaitSpare(sink *Sink) {
	r.t.Helper()
	byhand.WaitUntil(r.t, "spare connection", func() bool { _, exists := sink.dialer.checkSpare(); return exists })
	byhand.WaitUntil(r.t, "accepted connection", func() bool { return r.ln.OpenCount() > 0 })
}

// warmUp has a notice confirmed, so that the sink has an idle connection besides the spare one.
func (r *receiver) warmUp(sink *Sink) {
	r.t.Helper()
	sink.Add(nil, message.End{ID: "warm-up", State: message.Failed})
	byhand.WaitUntil(r.t, "first confirmation", func() bool { return r.isConfirmed("warm-up") })
	r.awaitSpare(sink)
	byhand.WaitUntil(r.t, "idle and spare connection", func() bool { return r.ln.OpenCount() >= 2 })
}

// expectInTime waits until notices have been received and confirmed, and checks that each was received in
// time after its end.
func (r *receiver) expectInTime(ends map[string]time.Time) {
	r.t.Helper()
	late, latest := 0, time.Duration(0)
	for id, endedAt := range ends {
		byhand.WaitUntil(r.t, "confirmation of "+id, func() bool { return r.isConfirmed(id) })
		after := r.receivedAt(id).Sub(endedAt)
		if after > noticeDue {
			late++
		}
		latest = max(latest, after)
	}
	if late > 0 {
		r.t.Errorf("%d of %d notices were received late, up to %v after their end, due within %v", late, len(ends), latest, noticeDue)
	}
}

// addEnds adds ends to a sink and returns their times.
func addEnds(sink *Sink, ids ...string) map[string]time.Time {
	ends := map[string]time.Time{}
	for _, id := range ids {
		ends[id] = time.Now()
		sink.Add(nil, message.End{ID: id, State: message.Failed})
	}
	return ends
}

// idRange returns count message IDs with a prefix.
func idRange(prefix string, count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprint(prefix, i)
	}
	return ids
}

// Guards against a notice that is late because all open connections to the platform have fallen silent at
// once: posts over the idle and over the spare connection share their fate and count as one try.
func TestOpenConnectionsFallSilent(t *testing.T) {
	for name, d := range map[string]silence.Direction{"both directions": silence.Both,
		"requests get lost": silence.Received, "responses get lost": silence.Sent} {
		t.Run(name, func(t *testing.T) {
			r := newReceiver(t)
			sink := r.startSink()
			r.warmUp(sink)
			r.ln.SilenceOpen(d)
			r.expectInTime(addEnds(sink, "m"))
		})
	}
	t.Run("spare connection only", func(t *testing.T) {
		r := newReceiver(t)
		sink := r.startSink()
		r.ln.SilenceOpen(silence.Both)
		r.expectInTime(addEnds(sink, "m"))
	})
}

// Guards against late notices if connections that are opened after the silence are silent too: two in a row
// leave time for a third.
func TestNewConnectionsAreSilentToo(t *testing.T) {
	for silent := 1; silent <= 2; silent++ {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			r := newReceiver(t)
			sink := r.startSink()
			r.warmUp(sink)
			r.ln.LimitNext(make([]silence.Limits, silent)...)
			r.ln.SilenceOpen(silence.Both)
			r.expectInTime(addEnds(sink, "m"))
		})
	}
}

// Guards against a notice that waits for the outcome of an earlier post.
func TestEndsWhileAPostIsUnanswered(t *testing.T) {
	r := newReceiver(t)
	sink := r.startSink()
	r.warmUp(sink)
	r.ln.LimitNext(silence.Limits{})
	r.ln.SilenceOpen(silence.Both)
	ends := addEnds(sink, "first")
	for i := range 8 {
		time.Sleep(20 * time.Millisecond) // ends come at any time between two posts
		for id, at := range addEnds(sink, fmt.Sprint("later-", i)) {
			ends[id] = at
		}
	}
	r.expectInTime(ends)
}

// Guards against late notices behind a full batch that was posted over a silent connection.
func TestSilenceWithSeveralBatches(t *testing.T) {
	r := newReceiver(t)
	sink := r.startSink()
	r.warmUp(sink)
	r.ln.SilenceOpen(silence.Both)
	r.expectInTime(addEnds(sink, idRange("m-", 4*maxBatch+1)...))
}

// Guards against notices that are late because an invalid one is in their batch, also while connections are
// silent. The invalid one is dropped.
func TestRefusedBatch(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %v", silent), func(t *testing.T) {
			r := newReceiver(t)
			r.invalidID = "m-77"
			sink := r.startSink()
			r.warmUp(sink)
			if silent {
				r.ln.SilenceOpen(silence.Both)
			}
			ends := addEnds(sink, idRange("m-", maxBatch)...)
			delete(ends, r.invalidID)
			r.expectInTime(ends)
			byhand.WaitUntil(t, "drop of the invalid notice", func() bool { return r.isConfirmed(r.invalidID) })
		})
	}
}

// Guards against a connection that falls silent within a request or a response, at any byte of either.
func TestSilenceAtEachByte(t *testing.T) {
	const bytesOfEach = 260 // more than a request and a response with one notice have
	parallel := make(chan struct{}, 16)
	var running sync.WaitGroup
	check := func(limits silence.Limits) {
		defer func() { <-parallel }()
		r := newReceiver(t)
		r.ln.LimitNext(limits)
		sink := r.startSink()
		r.expectInTime(addEnds(sink, "m"))
	}
	for n := range int64(bytesOfEach) {
		for _, limits := range []silence.Limits{{Received: n, Sent: silence.Unlimited}, {Received: silence.Unlimited, Sent: n}} {
			parallel <- struct{}{}
			running.Go(func() { check(limits) })
		}
	}
	running.Wait()
}

// Guards against late notices if new connections come up late while the open ones are silent, or if the first
// new ones never come up.
func TestSilenceWhileNewConnectionsAreLate(t *testing.T) {
	for name, delays := range map[string][]time.Duration{
		"all 50 ms late":      slices.Repeat([]time.Duration{50 * time.Millisecond}, 20),
		"all 150 ms late":     slices.Repeat([]time.Duration{150 * time.Millisecond}, 20),
		"two of them never":   {dialTimeout, dialTimeout},
		"three of them never": {dialTimeout, dialTimeout, dialTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReceiver(t)
			sink := New(r.addr, slog.New(slog.DiscardHandler))
			var slow atomic.Bool
			var dials atomic.Int32
			dial := sink.dialer.dial
			sink.dialer.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if slow.Load() {
					if n := int(dials.Add(1)) - 1; n < len(delays) {
						time.Sleep(delays[n])
					}
				}
				return dial(ctx, addr)
			}
			go sink.Run(t.Context(), r.confirm)
			r.awaitSpare(sink)
			r.warmUp(sink)
			slow.Store(true)
			r.ln.SilenceOpen(silence.Both)
			r.expectInTime(addEnds(sink, "m"))
		})
	}
}

// Guards against posts without end at a platform that is sound and slow: all notices are received in time and
// confirmed, a few posts are open at a time, and each post is waited for long enough to be answered.
func TestSlowPlatform(t *testing.T) {
	const (
		period   = 3 * time.Second
		interval = 50 * time.Millisecond // between ends
	)
	for _, c := range []struct {
		answerIn time.Duration
		perBatch int           // posts of a batch in the time of an answer, at most
		further  time.Duration // time between further posts
	}{
		{120 * time.Millisecond, 1, period}, // once the latency is known, no post is repeated
		{500 * time.Millisecond, maxPosts, period},
		{2 * time.Second, maxPosts, slowInterval},
	} {
		t.Run(c.answerIn.String(), func(t *testing.T) {
			t.Parallel()
			r := newReceiver(t)
			r.answerIn = c.answerIn
			sink := r.startSink()
			ends, began := map[string]time.Time{}, time.Now()
			for i := 0; time.Since(began) < period; i++ {
				for id, at := range addEnds(sink, fmt.Sprint("m-", i)) {
					ends[id] = at
				}
				time.Sleep(interval)
			}
			r.expectInTime(ends)
			took := time.Since(began)
			r.mu.Lock()
			defer r.mu.Unlock()
			if open := r.maxOpenPosts(); open > maxPosts {
				t.Errorf("%d posts were open at a time, at most %d allowed", open, maxPosts)
			}
			most := c.perBatch*(int(took/c.answerIn)+1) + int(took/c.further) + maxPosts
			t.Logf("%d posts in %v, at most %d allowed", len(r.posts), took, most)
			if len(r.posts) > most {
				t.Errorf("%d posts in %v, at most %d allowed", len(r.posts), took, most)
			}
		})
	}
}

// Guards against notices that stay behind at an address that is given up, or that are late because the first
// connections to the new address are silent.
func TestMoveWhilePostsAreUnanswered(t *testing.T) {
	old, next := newReceiver(t), newReceiver(t)
	sink := old.startSink()
	old.warmUp(sink)
	old.ln.LimitNext(make([]silence.Limits, 100)...)
	old.ln.SilenceOpen(silence.Both)
	next.ln.LimitNext(make([]silence.Limits, 2)...)
	ends := addEnds(sink, "m")
	time.Sleep(200 * time.Millisecond) // several posts are unanswered then
	ends["m"] = time.Now()
	sink.SetAddress(next.addr)
	byhand.WaitUntil(t, "confirmation", func() bool { return old.isConfirmed("m") })
	if after := next.receivedAt("m").Sub(ends["m"]); after > noticeDue {
		t.Errorf("received %v after the move, due within %v", after, noticeDue)
	}
}

// Guards against ends that wait long for their first post because earlier posts failed for long: once the
// platform is back, an end is told in time.
func TestEndsAfterALongOutage(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	received := make(chan time.Time, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
			if strings.Contains(lines.Text(), `"late"`) {
				received <- time.Now()
			}
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	sink := New(strings.TrimPrefix(srv.URL, "http://"), slog.New(slog.DiscardHandler))
	go sink.Run(t.Context(), func([]string) {})
	addEnds(sink, "early")
	time.Sleep(1500 * time.Millisecond) // the delays between posts have grown to their limit then
	down.Store(false)
	at := addEnds(sink, "late")["late"]
	if after := byhand.Await(t, received, "notice").Sub(at); after > noticeDue {
		t.Errorf("received %v after its end, due within %v", after, noticeDue)
	}
}
