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

// An answer that does not come holds up no end beyond the time in which it is due: what was told, and what has come
// meanwhile, is told on another connection.
func TestAnswerThatDoesNotCome(t *testing.T) {
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
	n := New(strings.TrimPrefix(srv.URL, "http://"), slog.New(slog.DiscardHandler))
	confirmed := make(chan []string, 16)
	go n.Run(t.Context(), func(ids []string) { confirmed <- ids })
	n.Add(nil, message.End{ID: "a", State: message.Failed})
	first := byhand.Await(t, posts, "post")
	n.Add(nil, message.End{ID: "b", State: message.Returned})
	again := byhand.Await(t, posts, "post again")
	const due = 300 * time.Millisecond
	if gap := again.at.Sub(first.at); gap > due {
		t.Errorf("told again after %v, due within %v", gap, due)
	}
	if !strings.Contains(again.body, `"a"`) {
		t.Errorf("told again: %s", again.body)
	}
	heard := map[string]bool{}
	for len(heard) < 2 {
		for _, id := range byhand.Await(t, confirmed, "confirmation") {
			heard[id] = true
		}
	}
}

// Guards against an end that is told late because the connection for it comes up late, the first after a start too: one
// is made before it is needed, and another when that is taken or discovery moves.
func TestConnectionIsThereBeforeItIsNeeded(t *testing.T) {
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
	n := New(strings.TrimPrefix(first.URL, "http://"), slog.New(slog.DiscardHandler))
	n.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		if conn := n.dialer.take(addr); conn != nil {
			return conn, nil
		}
		<-ctx.Done() // any other connection comes up late
		return nil, ctx.Err()
	}
	go n.Run(t.Context(), func([]string) {})
	for _, id := range []string{"a", "b", "c"} {
		n.Add(nil, message.End{ID: id, State: message.Failed})
		for body := ""; !strings.Contains(body, id); { // what is not confirmed yet is told again
			body = byhand.Await(t, posts, "post")
		}
		if id == "b" {
			n.SetAddress(strings.TrimPrefix(second.URL, "http://"))
		}
	}
}
