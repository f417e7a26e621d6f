package soak

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in for the platform that all senders share: discovery and the receiver of notices.
type platform struct {
	*discovery
	notices *noticeReceiver
}

// newPlatform returns a platform without a fault and with an empty list. The seed determines the calls for
// the list that fail. It serves a sender after [platform.listen].
func newPlatform(records *Records, seed uint64) *platform {
	return &platform{newDiscovery(records, seed), &noticeReceiver{records: records, changed: make(chan struct{})}}
}

// outcomes handles a request with notices.
func (p *platform) outcomes(w http.ResponseWriter, r *http.Request) { p.notices.receive(w, r) }

// noticeReceiver records the notices of how messages ended, and confirms them unless their responses have
// to get lost.
type noticeReceiver struct {
	records *Records

	mu         sync.Mutex
	unanswered bool          // notices are recorded and not answered, as if the responses got lost
	changed    chan struct{} // closed, and replaced by a new one, when unanswered is set
}

// setUnanswered sets whether requests with notices are left unanswered. It ends those that are with status
// 200, which confirms none of their notices: that takes 204.
func (o *noticeReceiver) setUnanswered(unanswered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = unanswered
	close(o.changed)
	o.changed = make(chan struct{})
}

// receive records the notices of a request, a sequence of JSON objects, and answers 204. While responses
// have to get lost, it waits until that changes or the sender gives up. It answers 400 to malformed JSON.
func (o *noticeReceiver) receive(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	type line struct {
		ID, State string
		AfterMS   int64 `json:"after_ms"`
	}
	var lines []line
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var x line
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	for _, x := range lines {
		o.records.addNotice(x.ID, Notice{at, x.State, x.AfterMS})
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
