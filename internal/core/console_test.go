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

// stalled is a store whose writes wait.
type stalled struct {
	Store
	entered chan struct{}
	release chan struct{}
}

func (s *stalled) Append(recs []journal.Record) error {
	if len(recs) > 0 {
		select {
		case s.entered <- struct{}{}:
			<-s.release
		default: // another write waits already
		}
	}
	return s.Store.Append(recs)
}

// While the core's loop waits for a disk that does not answer, the console does, and a drain is taken up.
func TestConsoleBesideStalledCore(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig())
	store := &stalled{r.Core.store, make(chan struct{}), make(chan struct{})}
	r.Core.store = store
	r.run()
	c, err := console.Listen("127.0.0.1:0", r.life, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go c.Serve()
	defer c.Close()
	go r.Submit(newMessage("a", "safe"), make(chan SubmitResponse, 1))
	byhand.Await(t, store.entered, "write")
	for path, want := range map[string]string{"/_ready": "GET", "/_lameduck/on": "POST"} {
		at := time.Now()
		req, _ := http.NewRequest(want, "http://"+c.Addr().(*net.TCPAddr).String()+path, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if d := time.Since(at); d > time.Second {
			t.Errorf("%s: answered after %v", path, d)
		}
	}
	if v := r.life.Behavior(); v.State != lifecycle.LameDuck {
		t.Errorf("%v", v.State)
	}
	close(store.release)
	byhand.Await(t, r.hand.attempts, "attempt").result <- Result{}
	byhand.Await(t, r.ends.told, "end")
	r.ends.confirm <- "a"
	r.halt()
}
