package core

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"cometrack/internal/console"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/standin/byhand"
)

// stalledStore is a store whose writes block until the test resumes them.
type stalledStore struct {
	Store
	writing chan struct{}
	resume  chan struct{}
}

func (s *stalledStore) Append(recs []journal.Record) error {
	if len(recs) > 0 {
		select {
		case s.writing <- struct{}{}:
			<-s.resume
		default: // another write is blocked already
		}
	}
	return s.Store.Append(recs)
}

// While the loop of the core is blocked by a disk that does not respond, the console responds and a drain takes effect.
func TestConsoleAnswersWhileStoreStalls(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig())
	store := &stalledStore{r.Core.store, make(chan struct{}), make(chan struct{})}
	r.Core.store = store
	r.run()
	c, err := console.Listen("127.0.0.1:0", r.lifecycle, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go c.Serve()
	defer c.Close()
	go r.Submit(newMessage("a", "safe"), make(chan SubmitResponse, 1))
	byhand.Await(t, store.writing, "write")
	for path, want := range map[string]string{"/_ready": "GET", "/_lameduck/on": "POST"} {
		at := time.Now()
		req, _ := http.NewRequest(want, "http://"+c.Addr().(*net.TCPAddr).String()+path, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if d := time.Since(at); d > time.Second {
			t.Errorf("%s: response after %v", path, d)
		}
	}
	if v := r.lifecycle.Behavior(); v.State != lifecycle.LameDuck {
		t.Errorf("%v", v.State)
	}
	close(store.resume)
	byhand.Await(t, r.fakeTransport.attempts, "attempt").result <- Result{}
	byhand.Await(t, r.fakeSink.added, "end")
	r.fakeSink.confirm <- "a"
	r.shutDown()
}
