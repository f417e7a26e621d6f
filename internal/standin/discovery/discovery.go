// Package discovery is a stand-in for the platform: its discovery of endpoints and its receiver of notices.
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
	"cometrack/internal/standin/silence"
)

// Notice is one line of a notice that the platform receives.
type Notice struct {
	ID      string `json:"id"`       // of the message
	State   string `json:"state"`    // failed or returned
	AfterMS int64  `json:"after_ms"` // of a returned message: delay before it may be submitted again, in ms
}

// Platform is a stand-in for discovery and for the receiver of notices. Its fields from List on are changed
// within [Platform.Set]. Its connections can fall silent.
type Platform struct {
	Server          *httptest.Server
	Connections     *silence.Listener            // of the server
	Notices         chan Notice                  // lines of the accepted notices, in order
	ListCalls       chan string                  // raw query of each call for the list
	RejectedNotices chan int                     // number of lines of each rejected notice
	mu              sync.Mutex                   // guards the fields below
	List            platform.List                // served to callers with an older generation
	changed         chan struct{}                // closed when a field changes
	Down            bool                         // answers 503 to calls for the list
	Silent          bool                         // never answers calls for the list
	RejectNotices   bool                         // answers 503 to notices
	EditSettings    func(settings string) string // edits the senders' settings; nil for none
	Fates           []fate.Response              // fates of the next calls for the list and of open watches
}

// New starts a platform that listens until the test has ended.
func New(t *testing.T) *Platform {
	t.Helper()
	p := &Platform{Notices: make(chan Notice, 64), ListCalls: make(chan string, 1024), RejectedNotices: make(chan int, 1024),
		changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.hosts)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	p.Server = httptest.NewUnstartedServer(mux)
	p.Connections = silence.Listen(p.Server.Listener)
	p.Server.Listener = p.Connections
	p.Server.Start()
	t.Cleanup(func() { p.Server.CloseClientConnections(); p.Server.Close() })
	return p
}

// Set calls change with the lock held and wakes the open watches.
func (p *Platform) Set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// hosts answers a call for the list. It holds the call until the list is newer than the caller's generation,
// and at the end of the hold answers with the generation alone. A caller that names no hold waits for an
// hour. It blocks while ListCalls is full.
func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.ListCalls <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold := time.Hour
	if ms, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil {
		hold = time.Duration(ms) * time.Millisecond
	}
	holdOver := time.After(hold)
	for {
		p.mu.Lock()
		list, changed, down, silent := p.List, p.changed, p.Down, p.Silent
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
		case <-changed:
		case <-r.Context().Done():
			return
		case <-holdOver:
			if !silent {
				json.NewEncoder(w).Encode(platform.List{Generation: list.Generation})
				return
			}
			holdOver = nil
		}
	}
}

// nextFate removes and returns the fate of the next call, if there is one.
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

// outcomes receives a notice, a sequence of JSON objects, and accepts or rejects it as a whole. If
// RejectNotices is set, it answers 503 and sends the number of lines to RejectedNotices; otherwise it answers
// 204 and sends the lines to Notices. It blocks while that channel is full. Malformed JSON gets 400 and is
// sent to neither.
func (p *Platform) outcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	reject := p.RejectNotices
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
	if reject {
		p.RejectedNotices <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, x := range lines {
		p.Notices <- x
	}
}
