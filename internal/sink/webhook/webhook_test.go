package webhook

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/sink"
	"cometrack/internal/standin/byhand"
)

// The signature matches the example of the Standard Webhooks specification, "Signature scheme".
func TestSign(t *testing.T) {
	key, err := base64.StdEncoding.DecodeString("MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw")
	if err != nil {
		t.Fatal(err)
	}
	got := Sign(key, "msg_p5jXN8AQM9LWM0D4loKWxJek", "1614265330", []byte(`{"test": 2432232314}`))
	if got != "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=" {
		t.Errorf("got %s", got)
	}
}

// post is a received request. The test sends its status.
type post struct {
	id, at, signature string
	body              []byte
	status            chan int
}

// receiver starts a server and returns its URL and the received requests.
func receiver(t *testing.T) (string, chan post) {
	t.Helper()
	posts := make(chan post, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		p := post{r.Header.Get("Webhook-Id"), r.Header.Get("Webhook-Timestamp"), r.Header.Get("Webhook-Signature"),
			body, make(chan int, 1)}
		posts <- p
		select {
		case status := <-p.status:
			if status == http.StatusFound {
				w.Header().Set("Location", "/elsewhere")
			}
			w.WriteHeader(status)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return srv.URL, posts
}

// newSink returns a sink that retries without delay.
func newSink(url string, parallel, maxQueued int) *Sink {
	s := New(Options{URL: url, Key: []byte("0123456789abcdef0123456789abcdef"), Timeout: byhand.Timeout,
		Parallel: parallel, MaxQueued: maxQueued, Log: slog.New(slog.DiscardHandler)})
	s.pause = func(context.Context, time.Duration) {}
	return s
}

// add adds a returned message to a sink.
func add(s *Sink, id string) {
	s.Add(&message.Message{ID: id, Partner: "p", Class: "c", Tenant: "t"},
		message.End{ID: id, State: message.Returned, RetryAfterMS: 5, Attempts: 2, At: 1e15})
}

// A notice is posted with the same body and a valid signature until the response is 2xx. No other status
// confirms it.
func TestRetriedUntilSuccess(t *testing.T) {
	url, posts := receiver(t)
	s := newSink(url, 1, 10)
	confirmed := make(chan []string, 1)
	go s.Run(t.Context(), func(ids []string) { confirmed <- ids })
	add(s, "a")
	var first []byte
	for _, status := range []int{500, 404, 302, 429, 204} {
		p := byhand.Await(t, posts, "post")
		if first == nil {
			first = p.body
		}
		if p.id != "a" || p.signature != Sign(s.opts.Key, p.id, p.at, p.body) || string(p.body) != string(first) {
			t.Errorf("posted %s %s %s", p.id, p.signature, p.body)
		}
		if len(confirmed) != 0 {
			t.Error("confirmed before a 2xx response")
		}
		p.status <- status
	}
	if got := fmt.Sprint(byhand.Await(t, confirmed, "confirmation")); got != "[a]" {
		t.Errorf("confirmed %s", got)
	}
	var notice sink.Notice
	if err := json.Unmarshal(first, &notice); err != nil || notice.ID != "a" ||
		notice.State != message.Returned || notice.RetryAfterMS != 5 || notice.Attempts != 2 || notice.Partner != "p" {
		t.Errorf("%s: %+v, %v", first, notice, err)
	}
}

// Guards against a silent receiver that blocks Add or the confirmation: it occupies the parallel
// requests only, and beyond the limit the oldest queued notices are dropped and confirmed.
func TestQueueLimit(t *testing.T) {
	url, posts := receiver(t)
	s := newSink(url, 2, 5)
	var confirmed atomic.Int64
	go s.Run(t.Context(), func(ids []string) { confirmed.Add(int64(len(ids))) })
	add(s, "m0")
	add(s, "m1")
	one, two := byhand.Await(t, posts, "post"), byhand.Await(t, posts, "post")
	for i := 2; i < 20; i++ {
		add(s, fmt.Sprint("m", i))
	}
	if got := s.queue.Dropped(); got < 12 || got > 13 { // the loop may hold one
		t.Errorf("%d dropped, want 12 or 13", got)
	}
	byhand.WaitUntil(t, "confirmation of the dropped notices while the receiver is silent",
		func() bool { return confirmed.Load() >= 12 })
	one.status <- 200
	two.status <- 200
	for i := range 5 {
		p := byhand.Await(t, posts, "post")
		if want := fmt.Sprint("m", 15+i); p.id < "m15" {
			t.Errorf("posted %s, want %s", p.id, want)
		}
		p.status <- 200
	}
	byhand.WaitUntil(t, "confirmation of all", func() bool { return confirmed.Load() >= 20 })
}
