package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/core"
	"cometrack/logic"
)

const (
	watchHold  = 20 * time.Second       // how long a watch may wait for news
	agentHold  = time.Second            // the same at an agent, which costs nothing and may fall silent at any time
	watchSlack = time.Second            // and how much later its answer may come; changes count as told 2 s later
	tryHold    = 4 * time.Second        // and of a watch after a call that failed: what is new then counts as told after 6 s, watch or not
	listTime   = 3 * time.Second        // for the whole list: what it tells counts as told 6 s after a silence began, so a second call has room
	listMost   = 5 * time.Second        // the same after one that was too short, perhaps for a slow discovery: the next call has to begin by then
	dialTime   = 2 * time.Second        // for a connection
	restTime   = 2 * time.Second        // for the rest of an answer that has begun
	tailTime   = 50 * time.Millisecond  // for what comes behind a list that has come whole
	emptyPause = 100 * time.Millisecond // between watches that are answered at once with nothing
	maxList    = 4 << 20
	keepGone   = time.Minute            // an endpoint off the list is remembered so long: it may come back
	moveTries  = 4                      // calls to a new address that may fail before the module is told: it tells within 4 s
	movePause  = 200 * time.Millisecond // from the first of them to the next, doubled with each; from one call to an agent that fails to the next
)

// List is discovery's answer.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint of the list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Dest      int64   `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

// List is the answer in the core's terms.
func (l List) List() core.List {
	out := core.List{Whole: l.Reset, Endpoints: make([]core.Endpoint, len(l.Instances))}
	for i, in := range l.Instances {
		e := core.Endpoint{Name: in.ID, Addr: in.HostPort, Zone: in.Zone, Kind: in.Kind,
			Partner: strconv.FormatInt(in.Dest, 10), Weight: in.Weight}
		switch in.Lifecycle {
		case "up":
			e.State = logic.Ready
		case "removed":
			e.State = logic.Gone
		default: // a state that is not known is no invitation to send
			e.State = logic.Draining
		}
		out.Endpoints[i] = e
	}
	return out
}

// Source asks discovery for the list. A watch runs from its start until a call
// fails or discovery moves.
type Source struct {
	client *http.Client
	log    *slog.Logger
	pushed bool

	mu       sync.Mutex
	addr     string
	gen      int64 // of the list that the core has
	started  bool  // there is such a list
	watching bool
	failed   bool               // the last call
	epoch    int                // counts the addresses
	listTime time.Duration      // for the next whole list
	stop     context.CancelFunc // of the watch
	again    func()             // begins a watch as the last Watch did
}

// New makes a source that asks at addr. known is the list that the core has
// already; the zero value if it has none. With pushed, the address belongs to an
// agent on this machine that is sent the list: it answers at once or, while
// discovery is down, not at all, and what it has counts as told. The source then
// goes on asking whatever happens.
func New(addr string, known List, pushed bool, log *slog.Logger) *Source {
	return &Source{addr: addr, log: log, pushed: pushed, listTime: listTime, gen: known.Generation, started: known.Generation != 0 || len(known.Instances) > 0,
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTime}).DialContext,
			MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// Move ends the watch and turns to another address, at once. The list there is
// asked for whole, since its generations need not follow on from those of the old
// one. It says whether the address is another.
func (d *Source) Move(addr string) bool {
	d.mu.Lock()
	if d.addr == addr {
		d.mu.Unlock()
		return false
	}
	if d.stop != nil {
		d.stop()
	}
	d.client.CloseIdleConnections()
	d.addr, d.started, d.watching, d.failed, d.listTime = addr, false, false, false, listTime
	d.epoch++
	again := d.again
	d.mu.Unlock()
	if again != nil {
		again()
	}
	return true
}

// Takes notes what a watch has brought, and says whether it is news: a watch at an
// address left behind has nothing to tell.
func (d *Source) Takes(n core.News) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n.Epoch != d.epoch {
		return false
	}
	if d.failed = n.Err != nil; d.failed {
		d.watching = false
	} else {
		d.gen, d.started = n.Version, true
	}
	return true
}

// Version is the generation of the list that the core has.
func (d *Source) Version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gen
}

// Watch begins to follow the list, unless it is followed already.
func (d *Source) Watch(ctx context.Context, tell func(core.News)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.again = func() { d.Watch(ctx, tell) }
	if d.watching {
		return
	}
	d.watching = true
	watching, stop := context.WithCancel(ctx)
	d.stop = stop
	w := watch{d: d, tell: tell, base: "http://" + d.addr + "/discovery/hosts", epoch: d.epoch, gen: d.gen, started: d.started, failed: d.failed}
	if d.epoch > 0 && !d.started && !d.failed {
		w.spare = moveTries
	}
	go func() {
		defer stop()
		w.run(watching)
	}()
}

// watch is a row of calls, each after the last answer at once, so that nothing is
// missed in between.
type watch struct {
	d       *Source
	tell    func(core.News)
	base    string
	epoch   int
	gen     int64
	started bool
	failed  bool // the last call
	spare   int  // calls that may fail before the watch does
}

func (w *watch) run(ctx context.Context) {
	down, pause := false, movePause
	for ctx.Err() == nil {
		url, limit, hold := w.base, w.d.listLimit(), watchHold
		switch {
		case w.d.pushed:
			limit, hold = agentHold+watchSlack, agentHold
		case w.failed:
			hold = tryHold
		}
		watches := w.started
		if watches {
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, w.gen, hold.Milliseconds())
			limit = hold + watchSlack
		}
		at := time.Now()
		list, err := w.d.get(ctx, url, limit)
		if ctx.Err() != nil {
			return
		}
		late := errors.Is(err, context.DeadlineExceeded)
		if !watches {
			w.d.listCame(late)
		}
		if err == nil {
			err = w.check(list)
		}
		if err != nil {
			before := w.failed
			w.failed = true
			if w.spare--; w.spare >= 0 || w.d.pushed {
				if !down {
					w.d.log.Warn("discovery", "err", err)
				}
				down = w.d.pushed // say so once, however long the agent is silent
				w.pause(ctx, pause-time.Since(at))
				if !w.d.pushed {
					pause *= 2
				}
				continue
			}
			w.d.log.Warn("discovery", "err", err)
			if watches && late && !before { // fallen silent: it is opened anew at once, for its news count as told by then
				continue
			}
			news := core.News{Err: err, Epoch: w.epoch, Took: time.Since(at)}
			if watches && !before {
				news.Took = 0
			}
			w.tell(news)
			return
		}
		w.gen, w.started, w.spare, w.failed, down, pause = list.Generation, true, 0, false, false, movePause
		w.tell(core.News{List: list.List(), Version: list.Generation, Epoch: w.epoch})
		if len(list.Instances) == 0 && time.Since(at) < emptyPause {
			w.pause(ctx, emptyPause)
		}
	}
}

// errNoList says that an answer is no news of the list.
var errNoList = errors.New("no list")

// check says what is wrong with an answer. After changes of an older list than ours, a whole one is asked for.
func (w *watch) check(l List) error {
	switch {
	case l.Reset:
	case w.started && l.Generation < w.gen:
		err := fmt.Errorf("%w: changes of generation %d, after %d", errNoList, l.Generation, w.gen)
		w.started, w.spare = false, max(w.spare, 1)
		return err
	case !w.started && l.Generation == 0 && len(l.Instances) == 0:
		return fmt.Errorf("%w: an answer without generation and endpoints", errNoList)
	}
	return nil
}

// pause waits for d or until ctx is over.
func (w *watch) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// listLimit is how long the whole list may take.
func (d *Source) listLimit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listTime
}

// listCame notes whether it took too long.
func (d *Source) listCame(late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listTime = listTime; late {
		d.listTime = listMost
	}
}

// get makes one call. It returns as soon as the list has come whole, whatever of the answer is still to come.
func (d *Source) get(ctx context.Context, url string, limit time.Duration) (List, error) {
	var list List
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	var stalled atomic.Bool
	rest := time.AfterFunc(restTime, func() { stalled.Store(true); cancel() })
	defer rest.Stop()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list); err != nil {
		if stalled.Load() {
			err = context.DeadlineExceeded
		}
		return list, fmt.Errorf("read list: %w", err)
	}
	if rest.Reset(tailTime) {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
	}
	return list, nil
}
