package platform

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
	"cometrack/internal/standin/byhand"
)

// A discovery that fails is asked again and again by the source itself, and so is an agent: what it has counts as told.
func TestAskedUntilAnswered(t *testing.T) {
	for _, agent := range []bool{true, false} {
		var asked atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) <= 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, `{"generation":7,"reset":true,"instances":[{"instanceId":"s","lifecycle":"draining"}]}`)
		}))
		defer srv.Close()
		news := make(chan core.EndpointUpdate, 1024)
		s := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), Poll: poll.Settings{Senders: 3, Agent: agent}, Log: slog.New(slog.DiscardHandler)})
		s.Watch(t.Context(), func(n core.EndpointUpdate) { news <- n })
		if n := byhand.Await(t, news, "news"); n.Version != 7 || asked.Load() < 4 {
			t.Errorf("agent %v: told %+v after %d calls", agent, n, asked.Load())
		}
	}
}
