package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"ravenmount/logic"
)

const (
	watchHold  = 20 * time.Second       // how long a watch may wait for news
	watchSlack = time.Second            // and how much later its answer may come; changes count as told 2 s later
	listTime   = 6 * time.Second        // for the whole list
	emptyPause = 100 * time.Millisecond // between watches that are answered at once with nothing
	maxList    = 4 << 20
	keepGone   = time.Minute            // an endpoint off the list is remembered so long: it may come back
	moveTries  = 4                      // calls to a new address that may fail before the module is told
	movePause  = 200 * time.Millisecond // after each
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

// listEvent is news of the list, or of a call for it that failed.
type listEvent struct {
	list  List
	err   error
	epoch int // of the address that it comes from
}

// directory maps the list's names to the module's numbers. The loop owns it.
type directory struct {
	zones []string
	kinds []logic.Kind
	ids   map[string]logic.EndpointID
	eps   map[logic.EndpointID]target
	dests map[int64]int // how many of eps a destination has
	last  logic.EndpointID
}

// target is where an endpoint can be reached.
type target struct {
	name string // on the list
	addr string
	zone int
	dest int64
	kind int
	gone time.Time // when it was taken off the list; zero while it is on it
}

func newDirectory(cfg *Config) *directory {
	return &directory{zones: cfg.Deploy.Zones, kinds: cfg.Deploy.Settings.Kinds,
		ids: map[string]logic.EndpointID{}, eps: map[logic.EndpointID]target{}, dests: map[int64]int{}}
}

// serves says whether a destination has an endpoint, or had one a short while ago.
func (d *directory) serves(dest int64) bool { return d.dests[dest] > 0 }

// forget drops endpoints that have long been off the list, but for those in use.
func (d *directory) forget(now time.Time, inUse map[logic.EndpointID]bool) {
	for id, to := range d.eps {
		if !to.gone.IsZero() && now.Sub(to.gone) > keepGone && !inUse[id] {
			d.drop(id)
		}
	}
}

func (d *directory) drop(id logic.EndpointID) {
	to, ok := d.eps[id]
	if !ok {
		return
	}
	delete(d.eps, id)
	delete(d.ids, to.name)
	if d.dests[to.dest]--; d.dests[to.dest] == 0 {
		delete(d.dests, to.dest)
	}
}

// take turns a list into the module's entries. An endpoint keeps its number as long
// as it is on the list, whatever its address, and for a while after.
func (d *directory) take(l List) []logic.Entry {
	rows := make([]logic.Entry, 0, len(l.Instances))
	now := time.Now()
	if l.Reset {
		on := map[string]bool{}
		for _, in := range l.Instances {
			on[in.ID] = true
		}
		for id, to := range d.eps {
			if !on[to.name] && to.gone.IsZero() {
				to.gone = now
				d.eps[id] = to
			}
		}
	}
	for _, in := range l.Instances {
		id, ok := d.ids[in.ID]
		if !ok && in.Lifecycle == "removed" {
			continue // it was never on our list, or is forgotten
		}
		if !ok {
			d.last++
			id = d.last
			d.ids[in.ID] = id
		}
		row := logic.Entry{Endpoint: id, Zone: slices.Index(d.zones, in.Zone), Dest: in.Dest, Nominal: in.Weight,
			Kind: slices.IndexFunc(d.kinds, func(k logic.Kind) bool { return k.Name == in.Kind })}
		switch in.Lifecycle {
		case "up":
			row.State = logic.Ready
		case "removed":
			row.State = logic.Gone
		default: // a state that is not known is no invitation to send
			row.State = logic.Draining
		}
		to, listed := d.eps[id]
		if listed {
			d.dests[to.dest]--
		}
		if in.HostPort != "" || !listed {
			to = target{name: in.ID, addr: in.HostPort, zone: row.Zone, dest: row.Dest, kind: row.Kind, gone: to.gone}
		}
		if d.dests[to.dest]++; row.State != logic.Gone {
			to.gone = time.Time{}
		} else if to.gone.IsZero() {
			to.gone = now
		}
		d.eps[id] = to
		rows = append(rows, row)
	}
	return rows
}

// discovery asks for the list. A watch runs from its start until a call fails or
// discovery moves. The loop owns it.
type discovery struct {
	addr     string
	client   *http.Client
	log      *slog.Logger
	events   chan<- any
	gen      int64 // of the list that the loop has
	started  bool  // there is such a list
	watching bool
	heard    bool               // from discovery itself, in the life of this process
	epoch    int                // counts the addresses
	stop     context.CancelFunc // of the watch
}

func newDiscovery(addr string, log *slog.Logger, events chan<- any) *discovery {
	return &discovery{addr: addr, log: log, events: events, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}}
}

// move ends the watch and turns to another address. The list there is asked for
// whole, since its generations need not follow on from those of the old one.
func (d *discovery) move(addr string) {
	if d.stop != nil {
		d.stop()
	}
	d.client.CloseIdleConnections()
	d.addr, d.started, d.watching = addr, false, false
	d.epoch++
}

// takes notes what a watch has brought, and says whether it is news: a watch at an
// address left behind has nothing to tell.
func (d *discovery) takes(ev listEvent) bool {
	if ev.epoch != d.epoch {
		return false
	}
	if ev.err != nil {
		d.watching = false
	} else {
		d.gen, d.started, d.heard = ev.list.Generation, true, true
	}
	return true
}

// watch begins to follow the list, unless it does so already.
func (d *discovery) watch(ctx context.Context) {
	if d.watching {
		return
	}
	d.watching = true
	ctx, stop := context.WithCancel(ctx)
	d.stop = stop
	w := watch{d: d, base: "http://" + d.addr + "/discovery/hosts", epoch: d.epoch, gen: d.gen, started: d.started}
	if d.epoch > 0 && !d.started {
		w.spare = moveTries
	}
	go func() {
		defer stop()
		w.run(ctx)
	}()
}

// watch is a row of calls, each after the last answer at once, so that nothing is
// missed in between.
type watch struct {
	d       *discovery
	base    string
	epoch   int
	gen     int64
	started bool
	spare   int // calls that may fail before the watch does
}

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		url, limit := w.base, listTime
		if w.started {
			url = fmt.Sprintf("%s?from=%d&hold_ms=%d", url, w.gen, watchHold.Milliseconds())
			limit = watchHold + watchSlack
		}
		at := time.Now()
		list, err := w.d.get(ctx, url, limit)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.d.log.Warn("discovery", "err", err)
			if w.spare--; w.spare >= 0 {
				time.Sleep(movePause)
				continue
			}
			w.d.events <- listEvent{err: err, epoch: w.epoch}
			return
		}
		w.gen, w.started, w.spare = list.Generation, true, 0
		w.d.events <- listEvent{list: list, epoch: w.epoch}
		if len(list.Instances) == 0 && time.Since(at) < emptyPause {
			time.Sleep(emptyPause)
		}
	}
}

func (d *discovery) get(ctx context.Context, url string, limit time.Duration) (List, error) {
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
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list); err != nil {
		return list, fmt.Errorf("read list: %w", err)
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
	return list, nil
}
