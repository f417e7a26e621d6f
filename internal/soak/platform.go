package soak

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform: discovery and the receiver of notices.
type platform struct {
	*discovery
	notices *noticeReceiver
}

func newPlatform(records *Records, seed uint64) *platform {
	return &platform{newDiscovery(records, seed), &noticeReceiver{records: records, changed: make(chan struct{})}}
}

func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) { p.notices.receive(w, r) }

// noticeReceiver records the notices of how messages ended.
type noticeReceiver struct {
	records *Records

	mu         sync.Mutex
	unanswered bool          // notices are recorded and not answered
	changed    chan struct{} // closed when unanswered changes
}

// setUnanswered sets whether notices are left unanswered.
func (o *noticeReceiver) setUnanswered(unanswered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = unanswered
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *noticeReceiver) receive(w http.ResponseWriter, r *http.Request) {
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
		o.records.addNotice(x.ID, Notice{at, x.State})
	}
	o.mu.Lock()
	unanswered, changed := o.unanswered, o.changed
	o.mu.Unlock()
	if unanswered { // the notice is recorded, and its response is lost
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
