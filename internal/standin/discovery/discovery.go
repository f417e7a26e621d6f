// Package discovery stands for the platform's discovery and for what hears of ends.
package discovery

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/fate"
)

// Notice is a line that the platform reads.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
}

// Platform stands for discovery and for what hears of ends.
type Platform struct {
	Srv     *httptest.Server
	Notices chan Notice
	Asked   chan string // each call for the list
	Refused chan int    // each notice turned away: the number of lines
	mu      sync.Mutex
	List    platform.List
	news    chan struct{}                // closed when the list changes
	Down    bool                         // answers 503 to all
	Silent  bool                         // never answers a call for the list
	Deaf    bool                         // turns notices away
	With    func(settings string) string // changes the senders' settings; nil for none
	Fates   []fate.Response              // what becomes of the next calls for the list, and of watches that are open
}

// New makes one that listens until the test is over.
func New(t *testing.T) *Platform {
	t.Helper()
	p := &Platform{Notices: make(chan Notice, 64), Asked: make(chan string, 1024), Refused: make(chan int, 1024),
		news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.hosts)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	p.Srv = httptest.NewServer(mux)
	t.Cleanup(func() { p.Srv.CloseClientConnections(); p.Srv.Close() })
	return p
}

// Set changes what it says, and wakes those who watch.
func (p *Platform) Set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.news)
	p.news = make(chan struct{})
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.Asked <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold := time.Hour
	if ms, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil {
		hold = time.Duration(ms) * time.Millisecond
	}
	held := time.After(hold)
	for {
		p.mu.Lock()
		list, news, down, silent := p.List, p.news, p.Down, p.Silent
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if next, ok := p.nextFate(); ok {
			body, _ := json.Marshal(list)
			next.Serve(w, r, body)
			return
		}
		if !silent && list.Generation > from {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-held:
			if !silent {
				json.NewEncoder(w).Encode(platform.List{Generation: list.Generation})
				return
			}
			held = nil
		}
	}
}

// nextFate takes the fate of the next call, if there is one.
func (p *Platform) nextFate() (fate.Response, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.Fates) == 0 {
		return fate.Response{}, false
	}
	next := p.Fates[0]
	p.Fates = p.Fates[1:]
	return next, true
}

func (p *Platform) outcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	deaf := p.Deaf
	p.mu.Unlock()
	var lines []Notice
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var x Notice
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	if deaf {
		p.Refused <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, x := range lines {
		p.Notices <- x
	}
}
