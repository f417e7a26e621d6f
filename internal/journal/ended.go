package journal

// Ended is what is remembered of a message that is over.
type Ended struct {
	ID           string `json:"id"`
	Tenant       string `json:"tenant,omitempty"`
	Partner      string `json:"partner,omitempty"`
	Class        string `json:"class,omitempty"`
	State        string `json:"state"`
	RetryAfterMS int64  `json:"after_ms,omitempty"`
	Attempts     int    `json:"tries,omitempty"`
	AcceptedAt   int64  `json:"at,omitempty"` // by the clock of package clock, as is Over
	EndedAt      int64  `json:"over"`
	Digest       uint64 `json:"digest"`
	RetainUntil  int64  `json:"until"` // forgotten after this
	behind       uint64 // of its [Entry], as is n
	n            int64
	saved        bool // it is to be in the store
}

// size is roughly what it takes in the store.
func (e *Ended) size() int64 {
	return int64(80 + len(e.ID) + len(e.Tenant) + len(e.Partner) + len(e.Class))
}

// ended remembers messages that are over, the oldest first to go. Bounds hold at
// once: number, each one's own time, and the bytes of those that are in the store
// too.
type ended struct {
	byID  map[string]*Ended
	queue []*Ended // in the order in which they came; the front ones are nil once dropped
	head  int
	saved int // the first of queue that is in the store
	bytes int64
	most  int
	room  int64           // bytes in the store; 0 for no limit
	drop  func(id string) // one is no longer to be in the store
}

func newEnded(most int, room int64, drop func(id string)) *ended {
	return &ended{byID: map[string]*Ended{}, most: most, room: room, drop: drop}
}

func (d *ended) add(e *Ended) {
	if d.byID[e.ID] != nil || d.most <= 0 {
		return
	}
	d.byID[e.ID] = e
	d.queue = append(d.queue, e)
	d.bytes += e.size()
	e.saved = true
	for d.room > 0 && d.bytes > d.room {
		d.unsave()
	}
	for len(d.byID) > d.most {
		d.pop()
	}
}

// unsave takes the oldest that is in the store out of it.
func (d *ended) unsave() {
	e := d.queue[d.saved]
	d.saved++
	d.bytes -= e.size()
	e.saved = false
	d.drop(e.ID)
}

func (d *ended) pop() {
	if d.saved <= d.head {
		d.unsave()
	}
	e := d.queue[d.head]
	d.queue[d.head] = nil
	delete(d.byID, e.ID)
	if d.head++; d.head > 64 && d.head*2 > len(d.queue) {
		d.queue = append(d.queue[:0:0], d.queue[d.head:]...)
		d.saved -= d.head
		d.head = 0
	}
}

// forget drops those at the front whose time is up.
func (d *ended) forget(now int64) {
	for len(d.byID) > 0 && d.queue[d.head].RetainUntil < now {
		d.pop()
	}
}

// before adds older ones, in memory only, as far as there is room.
func (d *ended) before(list []*Ended) {
	var older []*Ended
	for _, e := range list {
		if e != nil && d.byID[e.ID] == nil && len(d.byID)+len(older) < d.most {
			e.saved = false
			older = append(older, e)
		}
	}
	for _, e := range older {
		d.byID[e.ID] = e
	}
	d.queue = append(older, d.queue[d.head:]...)
	d.saved += len(older) - d.head
	d.head = 0
}

// all lists them, the oldest first.
func (d *ended) all() []*Ended { return d.queue[d.head:] }
