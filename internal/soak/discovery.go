package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cometrack/internal/standin/fate"
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

// lifecycles are those of the endpoints that the list names.
func (l instanceList) lifecycles() map[string]string {
	out := map[string]string{}
	for _, x := range l.Instances {
		out[x.ID] = x.Lifecycle
	}
	return out
}

const (
	mostFailuresInRow = 3 // of one sender's calls for the list, while single calls fail
	queueLimit        = 3 * time.Second
	oldAddressLasts   = 1500 * time.Millisecond // open connections to an address that discovery has left
)

// trouble is what discovery is in.
type trouble struct {
	away   bool          // it answers 503 to all
	silent bool          // it answers nothing
	delay  time.Duration // before each answer
	flaky  float64       // part of the calls that fail, though not more than some in a row
	turn   time.Duration // it works through calls one after the other, each for so long; 0 for all at once
}

// down says whether it answers nobody.
func (t trouble) down() bool { return t.away || t.silent }

// discovery is the server of the list, for all senders. Each of them asks it at an address of its own.
type discovery struct {
	records *Records
	pushed  bool // it stands for an agent beside each sender

	mu     sync.Mutex
	list   instanceList
	news   chan struct{} // closed when anything changes
	now    trouble
	rng    *rand.Rand
	inRow  map[int]int   // failures in a row, by sender
	worker chan struct{} // holds one token for the call that is being worked on
}

func newDiscovery(records *Records, seed uint64) *discovery {
	return &discovery{records: records, news: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 11)), inRow: map[int]int{}, worker: make(chan struct{}, 1)}
}

// publish puts another list in the place of the one before, and wakes those who watch.
func (d *discovery) publish(l instanceList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = l
	d.records.listed(time.Now(), l)
	d.wake()
}

// suffer puts it in trouble, or in none.
func (d *discovery) suffer(now trouble) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sufferLocked(now)
}

// recover ends a trouble, unless another has taken its place.
func (d *discovery) recover(from trouble) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now == from {
		d.sufferLocked(trouble{})
	}
}

func (d *discovery) sufferLocked(now trouble) {
	if before := d.now.down(); before != now.down() {
		d.records.discoveryDown(time.Now(), now.down())
	}
	d.now = now
	d.wake()
}

func (d *discovery) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

// known is the list as it is.
func (d *discovery) known() instanceList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// view is what a call finds.
func (d *discovery) view() (instanceList, <-chan struct{}, trouble) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.news, d.now
}

// draw draws the fate of a sender's call or answer.
func (d *discovery) draw(sender int) fate.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushed || d.rng.Float64() >= d.now.flaky || d.inRow[sender] >= mostFailuresInRow {
		return fate.Response{}
	}
	f := fate.Response{Kind: fate.Kind(1 + d.rng.IntN(int(fate.NumKinds)-1)), Delay: time.Duration(500+d.rng.IntN(2500)) * time.Millisecond}
	if !f.Succeeds() {
		d.inRow[sender]++
	}
	return f
}

// hosts answers a sender's call for the list.
func (d *discovery) hosts(sender int, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	hold := time.Duration(ms) * time.Millisecond
	began := time.Now()
	if !d.takeTurn(w, r) {
		return
	}
	first := d.draw(sender)
	if !first.Succeeds() {
		d.fail(first, sender, began, hold, w, r)
		return
	}
	list, ok := d.await(w, r, from, began.Add(hold))
	if !ok {
		return
	}
	if last := d.draw(sender); !last.Succeeds() { // it ends in the moment in which there is news
		d.fail(last, sender, began, hold, w, r)
		return
	}
	if first.Serve(w, r, encode(list)) {
		http.NewResponseController(w).Flush()
		d.answered(sender)
		d.records.listWritten(sender, time.Now(), list.Generation)
	}
}

// fail has a call fail.
func (d *discovery) fail(f fate.Response, sender int, began time.Time, hold time.Duration, w http.ResponseWriter, r *http.Request) {
	if f.Kind == fate.NoResponse || f.Kind == fate.Stalled {
		d.records.silentWatch(sender, began, hold)
	}
	f.Serve(w, r, encode(d.known()))
}

// answered notes that a sender's call was answered.
func (d *discovery) answered(sender int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inRow[sender] = 0
}

func encode(l instanceList) []byte {
	b, _ := json.Marshal(l)
	return b
}

// takeTurn waits until a call is worked on; false if it has waited too long, and was refused.
func (d *discovery) takeTurn(w http.ResponseWriter, r *http.Request) bool {
	_, _, now := d.view()
	if now.turn == 0 || d.pushed { // an agent is there for one sender
		return true
	}
	select {
	case d.worker <- struct{}{}:
	case <-time.After(queueLimit):
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case <-r.Context().Done():
		return false
	}
	time.Sleep(now.turn)
	<-d.worker
	return true
}

// await waits until there is something newer than a generation or the time is over; false if the call ends otherwise.
func (d *discovery) await(w http.ResponseWriter, r *http.Request, from int64, by time.Time) (instanceList, bool) {
	for {
		list, news, now := d.view()
		if now.away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return list, false
		}
		left := time.Until(by)
		if !now.silent && (list.Generation > from || left <= 0) {
			time.Sleep(now.delay)
			if list.Generation <= from {
				list.Instances, list.Reset = nil, false
			}
			return list, true
		}
		if now.silent {
			left = time.Minute
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return list, false
		case <-time.After(left):
		}
	}
}

// door is an address of the platform for one sender.
type door struct {
	addr   string
	server *http.Server
	ln     net.Listener
}

// open listens at an address for one sender.
func (p *platform) open(sender int, addr string) (*door, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", func(w http.ResponseWriter, r *http.Request) { p.discovery.hosts(sender, w, r) })
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	out := &door{addr: addr, server: &http.Server{Handler: mux}, ln: ln}
	go out.server.Serve(ln)
	return out, nil
}

// leave takes no new connection, and closes the open ones a while later, as discovery does when it moves.
func (d *door) leave() {
	d.ln.Close()
	time.AfterFunc(oldAddressLasts, func() { d.server.Close() })
}
