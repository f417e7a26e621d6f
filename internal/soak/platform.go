package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one line of discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

type instanceList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// platform stands for discovery and for what hears of ends.
type platform struct {
	records *Records
	server  *http.Server
	ln      net.Listener

	mu     sync.Mutex
	list   instanceList
	news   chan struct{} // closed when anything changes
	away   bool          // discovery answers 503
	silent bool          // it answers nothing
	delay  time.Duration // before each answer
	mute   bool          // notices are taken and not answered
}

func newPlatform(records *Records) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{records: records, ln: ln, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.hosts)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(ln)
	return p, nil
}

func (p *platform) addr() string { return p.ln.Addr().String() }

// port is where it listens.
func (p *platform) port() int { return p.ln.Addr().(*net.TCPAddr).Port }

func (p *platform) close() { p.server.Close() }

// change changes what it says, and wakes those who watch.
func (p *platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.news)
	p.news = make(chan struct{})
}

// known is the list as it is.
func (p *platform) known() instanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

func (p *platform) hosts(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold := time.Duration(0)
	if ms, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil {
		hold = time.Duration(ms) * time.Millisecond
	}
	by := time.Now().Add(hold)
	for {
		p.mu.Lock()
		list, news, away, silent, delay := p.list, p.news, p.away, p.silent, p.delay
		p.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left := time.Until(by)
		if !silent && (list.Generation > from || left <= 0) {
			time.Sleep(delay)
			if list.Generation <= from {
				list.Instances, list.Reset = nil, false
			}
			json.NewEncoder(w).Encode(list)
			return
		}
		if silent {
			left = time.Minute
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-time.After(left):
		}
	}
}

func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var lines []struct{ ID, State string }
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var x struct{ ID, State string }
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	for _, x := range lines {
		p.records.notice(x.ID, Notice{at, x.State})
	}
	p.mu.Lock()
	mute, news := p.mute, p.news
	p.mu.Unlock()
	if mute { // heard, but the answer gets lost
		select {
		case <-news:
		case <-r.Context().Done():
		}
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
