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
	"cometrack/internal/standin/byhand"
)

// An agent that fails is asked again and again without a word: the module's pauses between two tries grow, and what the
// agent has counts as told meanwhile. Elsewhere the module says when to ask.
func TestAgentIsAskedOn(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		var asked atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) <= 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			io.WriteString(w, `{"generation":7,"reset":true,"instances":[{"instanceId":"s","lifecycle":"draining"}]}`)
		}))
		defer srv.Close()
		news := make(chan core.News, 1024)
		s := New(strings.TrimPrefix(srv.URL, "http://"), List{}, pushed, slog.New(slog.DiscardHandler))
		s.Watch(t.Context(), func(n core.News) { news <- n })
		if n := byhand.Await(t, news, "news"); (n.Err == nil) != pushed || pushed && n.Version != 7 {
			t.Errorf("pushed %v: told %+v after %d calls", pushed, n, asked.Load())
		}
	}
}
