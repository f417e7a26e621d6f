package webhook

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cometrack/internal/sink"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/silence"
)

// Guards against one request after another that runs out of time because the idle connections to the receiver have
// all fallen silent: the request after the first that got no answer needs a new connection.
func TestSilentIdleConnectionsCostOneRequest(t *testing.T) {
	const parallel = 4
	var received, together atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		received.Add(1)
		for received.Load() < together.Load() { // so that each request has a connection
			time.Sleep(time.Millisecond)
		}
	}))
	connections := silence.Listen(srv.Listener)
	srv.Listener = connections
	srv.Start()
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s := New(Options{URL: srv.URL, Key: []byte("key"), Timeout: 200 * time.Millisecond, Parallel: parallel, MaxQueued: 100,
		Log: slog.New(slog.DiscardHandler)})
	together.Store(parallel)
	var warmUp sync.WaitGroup
	for range parallel {
		warmUp.Go(func() {
			if err := s.post(t.Context(), "warm-up", []byte("{}")); err != nil {
				t.Error(err)
			}
		})
	}
	warmUp.Wait()
	together.Store(0)
	if n := connections.SilenceOpen(silence.Both); n != parallel {
		t.Fatalf("%d connections are open, want %d", n, parallel)
	}
	failed := 0
	for s.post(t.Context(), "m", sink.Notice{}.JSON()) != nil {
		if failed++; failed > parallel {
			break
		}
	}
	if failed > 1 {
		t.Errorf("%d requests ran out of time, one of them has to be enough", failed)
	}
	byhand.WaitUntil(t, "request", func() bool { return received.Load() == parallel+1 })
}
