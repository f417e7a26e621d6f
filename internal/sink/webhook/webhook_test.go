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

// The example of the Standard Webhooks specification, "Signature scheme".
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

// post is a request that a test answers.
type post struct {
	id, at, signature string
	body              []byte
	status            chan int
}

func receiver(t *testing.T) (string, chan post) {
	t.Helper()
	posts := make(chan post, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		p := post{r.Header.Get("Webhook-Id"), r.Header.Get("Webhook-Timestamp"), r.Header.Get("Webhook-Signature"), body, make(chan int, 1)}
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

func newSink(url string, parallel, waiting int) *Sink {
	s := New(Options{URL: url, Key: []byte("0123456789abcdef0123456789abcdef"), Timeout: byhand.Timeout, Parallel: parallel, Waiting: waiting,
		Log: slog.New(slog.DiscardHandler)})
	s.pause = func(context.Context, time.Duration) {}
	return s
}

func add(s *Sink, id string) {
	s.Add(&message.Message{ID: id, Partner: "p", Class: "c", Tenant: "t"}, message.End{ID: id, State: message.Returned, RetryAfterMS: 5, Attempts: 2, At: 1e15})
}

// An end is posted, signed and the same each time, until it is answered with 2xx; nothing else confirms it.
func TestUntilHeard(t *testing.T) {
	url, posts := receiver(t)
	s := newSink(url, 1, 10)
	heard := make(chan []string, 1)
	go s.Run(t.Context(), func(ids []string) { heard <- ids })
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
		if len(heard) != 0 {
			t.Error("confirmed before it was heard")
		}
		p.status <- status
	}
	if got := fmt.Sprint(byhand.Await(t, heard, "confirmation")); got != "[a]" {
		t.Errorf("confirmed %s", got)
	}
	var l sink.Line
	if err := json.Unmarshal(first, &l); err != nil || l.ID != "a" || l.State != message.Returned || l.AfterMS != 5 || l.Tries != 2 || l.Partner != "p" {
		t.Errorf("%s: %+v, %v", first, l, err)
	}
}

// A receiver that answers nothing holds up no more than its places; above the bound the oldest that wait are given
// up, which counts as heard, and Add never waits.
func TestBound(t *testing.T) {
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
	if got := s.queue.Lost(); got < 12 || got > 13 { // one may be held by the loop that waits for a place
		t.Errorf("%d given up", got)
	}
	byhand.WaitUntil(t, "confirmation of those given up, while the receiver is still silent", func() bool { return confirmed.Load() >= 12 })
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
