package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is an endpoint in discovery's list.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// list is an answer of discovery.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// notice is one line of the notices.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
	at      time.Time
}

// platform is discovery and the receiver of notices.
type platform struct {
	r    *rig
	ln   net.Listener
	list list

	mu      sync.Mutex
	notices map[string]notice // the first for each message
}

// newPlatform starts a platform with a list that does not change.
func (r *rig) newPlatform(l list) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{r: r, ln: ln, list: l, notices: map[string]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.hosts)
	mux.HandleFunc("POST /v1/outcomes", p.outcomes)
	go http.Serve(ln, mux)
	return p, nil
}

func (p *platform) addr() string { return p.ln.Addr().String() }

// hosts answers a call for the list: the whole list, or after the hold that there is no change.
func (p *platform) hosts(w http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil || from < p.list.Generation {
		p.r.note("discovery", "whole list")
		json.NewEncoder(w).Encode(p.list)
		return
	}
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	select {
	case <-time.After(time.Duration(hold) * time.Millisecond):
		json.NewEncoder(w).Encode(list{Generation: p.list.Generation, Instances: []instance{}})
	case <-req.Context().Done():
	}
}

// outcomes takes notices and answers 204 at once.
func (p *platform) outcomes(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var list []notice
	for in := json.NewDecoder(bytes.NewReader(body)); in.More(); {
		var n notice
		if in.Decode(&n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.at = at
		list = append(list, n)
	}
	p.mu.Lock()
	for _, n := range list {
		if _, ok := p.notices[n.ID]; !ok {
			p.notices[n.ID] = n
		}
	}
	p.mu.Unlock()
	for _, n := range list {
		p.r.note("notices", "%s %s", n.ID, n.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice of a message.
func (p *platform) noticeOf(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.notices[id]
	return n, ok
}
