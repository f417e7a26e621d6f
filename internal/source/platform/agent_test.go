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

// Guards against a change that never arrives: the source itself repeats failed calls, to discovery and to an agent.
func TestRetriesUntilResponse(t *testing.T) {
	for _, agent := range []bool{true, false} {
		var calls atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) <= 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, `{"generation":7,"reset":true,"instances":[{"instanceId":"s","lifecycle":"draining"}]}`)
		}))
		defer srv.Close()
		updates := make(chan core.EndpointUpdate, 1024)
		s := New(Options{Addr: strings.TrimPrefix(srv.URL, "http://"), Poll: poll.Settings{Senders: 3, Agent: agent}, Log: slog.New(slog.DiscardHandler)})
		s.Watch(t.Context(), func(u core.EndpointUpdate) { updates <- u })
		if u := byhand.Await(t, updates, "update"); u.Version != 7 || calls.Load() < 4 {
			t.Errorf("agent %v: got %+v after %d calls", agent, u, calls.Load())
		}
	}
}
