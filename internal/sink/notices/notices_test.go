package notices

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
)

// Guards against notices that are late because the platform does not answer a post: the same notices and
// those that were added since are posted on another connection within the time in which they are due.
func TestMissingResponse(t *testing.T) {
	type post struct {
		at   time.Time
		body string
	}
	posts, silent := make(chan post, 16), make(chan struct{}, 1)
	silent <- struct{}{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		posts <- post{time.Now(), string(body)}
		select {
		case <-silent: // the first
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}))
	defer srv.Close()
	sink := New(strings.TrimPrefix(srv.URL, "http://"), slog.New(slog.DiscardHandler))
	confirmed := make(chan []string, 16)
	go sink.Run(t.Context(), func(ids []string) { confirmed <- ids })
	sink.Add(nil, message.End{ID: "a", State: message.Failed})
	first := byhand.Await(t, posts, "post")
	sink.Add(nil, message.End{ID: "b", State: message.Returned})
	again := byhand.Await(t, posts, "post again")
	const due = 300 * time.Millisecond
	if gap := again.at.Sub(first.at); gap > due {
		t.Errorf("posted again after %v, due within %v", gap, due)
	}
	if !strings.Contains(again.body, `"a"`) {
		t.Errorf("the second post lacks the first notice: %s", again.body)
	}
	confirmedIDs := map[string]bool{}
	for len(confirmedIDs) < 2 {
		for _, id := range byhand.Await(t, confirmed, "confirmation") {
			confirmedIDs[id] = true
		}
	}
}

// Guards against notices that are late because a connection is slow to open, including the first one
// after a start: one is opened in advance, and another after it was used or the address changed.
func TestSpareConnection(t *testing.T) {
	posts := make(chan string, 16)
	serve := func() *httptest.Server {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			posts <- string(body)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNoContent)
		}))
		t.Cleanup(srv.Close)
		return srv
	}
	first, second := serve(), serve()
	sink := New(strings.TrimPrefix(first.URL, "http://"), slog.New(slog.DiscardHandler))
	sink.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		if conn := sink.dialer.takeSpare(addr); conn != nil {
			return conn, nil
		}
		<-ctx.Done() // every other connection is slow to open
		return nil, ctx.Err()
	}
	go sink.Run(t.Context(), func([]string) {})
	for _, id := range []string{"a", "b", "c"} {
		sink.Add(nil, message.End{ID: id, State: message.Failed})
		for body := ""; !strings.Contains(body, id); { // unconfirmed notices are repeated
			body = byhand.Await(t, posts, "post")
		}
		if id == "b" {
			sink.SetAddress(strings.TrimPrefix(second.URL, "http://"))
		}
	}
}
