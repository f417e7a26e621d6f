package journal

// Ended is the retained end of a message. Times are in microseconds of package clock.
type Ended struct {
	ID           string `json:"id"`
	Tenant       string `json:"tenant,omitempty"`
	Partner      string `json:"partner,omitempty"`
	Class        string `json:"class,omitempty"`
	State        string `json:"state"`
	RetryAfterMS int64  `json:"after_ms,omitempty"`
	Attempts     int    `json:"tries,omitempty"`
	AcceptedAt   int64  `json:"at,omitempty"`
	EndedAt      int64  `json:"over"`
	Digest       uint64 `json:"digest"`
	RetainUntil  int64  `json:"until"` // end of its retention
	backlogSeq   uint64 // of its [Entry], as is number
	number       int64
	saved        bool // it belongs into the store, not only into memory
}

// size returns about the number of bytes that it takes in the store.
func (e *Ended) size() int64 {
	return int64(80 + len(e.ID) + len(e.Tenant) + len(e.Partner) + len(e.Class))
}

// endedMessages retains ended messages. Three bounds apply: the number of messages, the
// retention of each, and the bytes of those that are in the store. The oldest are dropped first.
type endedMessages struct {
	byID       map[string]*Ended
	queue      []*Ended // in the order of addition; dropped ones are nil until they are cut off the front
	head       int      // index of the oldest in queue
	firstSaved int      // index of the oldest in queue that is in the store
	bytes      int64    // size of those in the store
	maxCount   int
	maxBytes   int64           // limit of bytes; 0 for none
	onUnsave   func(id string) // called with the id of each that leaves the store
}

func newEnded(maxCount int, maxBytes int64, onUnsave func(id string)) *endedMessages {
	return &endedMessages{byID: map[string]*Ended{}, maxCount: maxCount, maxBytes: maxBytes, onUnsave: onUnsave}
}

// add adds an ended message, unless there is one with its id.
func (d *endedMessages) add(e *Ended) {
	if d.byID[e.ID] != nil || d.maxCount <= 0 {
		return
	}
	d.byID[e.ID] = e
	d.queue = append(d.queue, e)
	d.bytes += e.size()
	e.saved = true
	for d.maxBytes > 0 && d.bytes > d.maxBytes {
		d.unsave()
	}
	for len(d.byID) > d.maxCount {
		d.pop()
	}
}

// unsave takes the oldest message in the store out of it; it stays in memory.
func (d *endedMessages) unsave() {
	e := d.queue[d.firstSaved]
	d.firstSaved++
	d.bytes -= e.size()
	e.saved = false
	d.onUnsave(e.ID)
}

// pop drops the oldest message.
func (d *endedMessages) pop() {
	if d.firstSaved <= d.head {
		d.unsave()
	}
	e := d.queue[d.head]
	d.queue[d.head] = nil
	delete(d.byID, e.ID)
	if d.head++; d.head > 64 && d.head*2 > len(d.queue) {
		d.queue = append(d.queue[:0:0], d.queue[d.head:]...)
		d.firstSaved -= d.head
		d.head = 0
	}
}

// expire drops the oldest messages as long as their retention has ended.
func (d *endedMessages) expire(now int64) {
	for len(d.byID) > 0 && d.queue[d.head].RetainUntil < now {
		d.pop()
	}
}

// addOlder adds messages older than all others, in memory only, as far as maxCount permits.
func (d *endedMessages) addOlder(list []*Ended) {
	var older []*Ended
	for _, e := range list {
		if e != nil && d.byID[e.ID] == nil && len(d.byID)+len(older) < d.maxCount {
			e.saved = false
			older = append(older, e)
		}
	}
	for _, e := range older {
		d.byID[e.ID] = e
	}
	d.queue = append(older, d.queue[d.head:]...)
	d.firstSaved += len(older) - d.head
	d.head = 0
}

// all lists the retained messages, the oldest first.
func (d *endedMessages) all() []*Ended { return d.queue[d.head:] }
