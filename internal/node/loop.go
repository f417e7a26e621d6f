package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"ravenmount/logic"
)

const (
	acceptOn   = 500 * time.Millisecond  // after SIGTERM, clients are served on for so long
	stopSends  = 3200 * time.Millisecond // what is sent after SIGTERM must end by then
	stopAll    = 3400 * time.Millisecond // and the process must be gone soon after this
	sweepEvery = time.Second
	retryPause = 250 * time.Millisecond // of an attempt that could not be written to the journal
	eventRoom  = 4096
)

// replyEvent is the one outcome of an attempt.
type replyEvent struct {
	call   *call
	result result
	took   time.Duration
}

// healthEvent is the one outcome of a probe.
type healthEvent struct {
	ep      logic.EndpointID
	outcome logic.Outcome
}

// closingEvent starts the shutdown.
type closingEvent struct{ left time.Duration }

// held is a message that the module has and that is not over.
type held struct {
	msg   *Message
	tries int
	over  bool               // ended; an attempt is still out
	stop  context.CancelFunc // of the attempt that is out
	call  *call              // that attempt
}

// Node is one sender.
type Node struct {
	cfg     *Config
	log     *slog.Logger
	journal *Journal
	sender  *logic.Sender
	caller  *caller
	dir     *directory
	disc    *discovery
	notices *notices
	clients *clients
	events  chan any
	ready   chan net.Addr // gets the address once clients are served
	reload  <-chan os.Signal
	load    func() (*Config, error)

	// What follows belongs to the loop.
	due     *time.Timer // the module's
	token   uint64
	start   time.Time
	held    map[string]*held
	open    int                  // of held, those not over
	recent  map[string]time.Time // ids that were taken on and are over, until their time is up
	next    []logic.Event        // for the next step
	closing bool
	puts    []putEvent
	records []record
}

// New makes a sender and replays its journal.
func New(cfg *Config, log *slog.Logger) (*Node, error) {
	set := cfg.Deploy.Settings
	sender, err := logic.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	journal, err := OpenJournal(cfg.StateDir, int64(cfg.Limits.DiskMB*1e6))
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, journal: journal, sender: sender, dir: newDirectory(cfg),
		caller: newCaller(span(cfg.Deploy.ConnectTimeout), span(set.ConnIdle), set.Slots, shareOut(cfg)),
		events: make(chan any, eventRoom), ready: make(chan net.Addr, 1), start: time.Now(), due: time.NewTimer(time.Hour), held: map[string]*held{}, recent: map[string]time.Time{}}
	n.disc = newDiscovery(cfg.Discovery, log, n.events)
	n.notices = newNotices(cfg.Discovery, log, n.events)
	n.clients = newClients(cfg, log, n.events)
	return n, nil
}

func span(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
func micros(d time.Duration) logic.Micros {
	return logic.Micros(d / time.Microsecond)
}

// Run serves until ctx is cancelled, then shuts down in good order.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.journal.Close()
	n.resume()
	n.step(work) // what the journal holds comes first: its ends are due
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go n.notices.run(work)
	go n.clients.serve(ln)
	go n.reloads(work)
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.held))
	n.ready <- ln.Addr()
	served := make(chan struct{}) // closed when no client is left
	stopped := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return
		}
		at := time.Now()
		n.events <- closingEvent{stopSends}
		time.Sleep(acceptOn)
		ln.Close()
		grace, end := context.WithDeadline(work, at.Add(stopAll))
		defer end()
		n.clients.shutdown(grace)
		close(served)
		<-grace.Done()
		close(stopped)
	}()
	return n.loop(work, served, stopped)
}

// loop owns the module and all of the state: it takes what has come, lets the
// module step, writes the journal and acts, at most once a tick.
func (n *Node) loop(work context.Context, served, stopped <-chan struct{}) error {
	tick := max(span(n.cfg.Deploy.Settings.Tick), time.Millisecond)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	defer n.due.Stop()
	quiet := false // shutting down, and no client is left
	for {
		if quiet && n.open == 0 && len(n.journal.entries) == 0 {
			n.log.Info("stopped", "owed", 0)
			return nil
		}
		select {
		case ev := <-n.events:
			n.take(work, ev)
		case <-n.due.C:
			n.next = append(n.next, logic.Due{Token: n.token})
		case <-sweep.C:
			n.caller.sweep()
			n.dir.forget(time.Now(), n.calls())
			n.forget()
			continue
		case <-served:
			quiet, served = true, nil
			continue
		case <-stopped:
			// What is still out stays in the journal as it is.
			n.log.Info("stopped", "owed", len(n.journal.entries))
			return nil
		}
		for more := true; more; {
			select {
			case ev := <-n.events:
				n.take(work, ev)
			default:
				more = false
			}
		}
		n.step(work)
		for len(n.next) > 0 {
			n.step(work)
		}
		rest.Reset(tick)
		<-rest.C
	}
}

// resume hands the module what the journal holds, with what became of it so far.
func (n *Node) resume() {
	if n.cfg.Known.Generation != 0 || len(n.cfg.Known.Instances) > 0 {
		n.disc.gen, n.disc.started = n.cfg.Known.Generation, true
		n.next = append(n.next, logic.Endpoints{Form: logic.ListCached, Entries: n.dir.take(n.cfg.Known)})
	}
	now := time.Now().UnixMicro()
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
			continue
		}
		n.held[e.ID] = &held{msg: &e.Message, tries: e.Tries}
		n.open++
		c := n.callOf(&e.Message, now)
		c.Past = logic.Past{Tries: e.Tries, MayRun: e.MayRun || e.Open}
		if c.Past.MayRun {
			c.Past.Age, c.Past.Zone = logic.Micros(max(now-e.FirstMay, 0)), e.FirstZone
		}
		if e.Open { // whoever reads the journal next must not take its outcome for a later one's
			n.records = append(n.records, record{Op: opOutcome, ID: e.ID, MayRun: true})
		}
		n.next = append(n.next, c)
	}
}

// callOf is the module's view of a message.
func (n *Node) callOf(m *Message, now int64) logic.Call {
	c := logic.Call{ID: m.ID, Key: m.Order, Left: logic.Micros(m.Deadline - now), Dest: m.Dest, Tenant: -1, Class: n.cfg.Classes[m.Class]}
	if t, ok := n.cfg.Tenants[m.Tenant]; ok && m.Tenant != "" {
		c.Tenant = t
	}
	return c
}

// take turns what has come into events for the next step.
func (n *Node) take(work context.Context, ev any) {
	switch ev := ev.(type) {
	case putEvent:
		n.put(ev)
	case replyEvent:
		n.reply(ev)
	case healthEvent:
		n.next = append(n.next, logic.HealthResult{Endpoint: ev.ep, Outcome: ev.outcome})
	case listEvent:
		n.list(ev)
	case noticedEvent:
		for _, id := range ev.ids {
			n.records = append(n.records, record{Op: opNoticed, ID: id})
		}
		if err := n.journal.Append(n.records); err != nil {
			n.log.Error("journal", "err", err)
		}
		n.records = nil
	case reloadEvent:
		n.moveTo(work, ev.cfg)
	case closingEvent:
		n.closing = true
		n.next = append(n.next, logic.Closing{Left: micros(ev.left)})
	}
}

func (n *Node) put(ev putEvent) {
	id := ev.msg.ID
	_, over := n.recent[id]
	if n.held[id] != nil || n.journal.Entry(id) != nil || over {
		if n.waits(id) {
			n.puts = append(n.puts, ev) // it gets the answer of the first
			return
		}
		ev.answer <- answerOK
		return
	}
	if !n.dir.serves(ev.msg.Dest) {
		if n.disc.heard {
			ev.answer <- answerUnknown
		} else { // nobody has told yet what there is
			ev.answer <- busy(logic.Second)
		}
		return
	}
	most := n.cfg.Deploy.Settings.MaxOpen
	if most > 0 && n.open >= most || !n.journal.Room(len(ev.msg.Body)) {
		ev.answer <- busy(0)
		return
	}
	m := ev.msg
	n.held[id] = &held{msg: &m}
	n.open++
	n.puts = append(n.puts, ev)
	n.next = append(n.next, n.callOf(&m, time.Now().UnixMicro()))
}

// waits says whether the message came since the last step.
func (n *Node) waits(id string) bool {
	for _, p := range n.puts {
		if p.msg.ID == id {
			return true
		}
	}
	return false
}

func busy(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

func (n *Node) list(ev listEvent) {
	if !n.disc.takes(ev) {
		return
	}
	if ev.err != nil {
		n.next = append(n.next, logic.Endpoints{Form: logic.ListFailed})
		return
	}
	form := logic.ListDelta
	if ev.list.Reset {
		form = logic.ListFull
	}
	rows := n.dir.take(ev.list)
	n.hold(func(ep logic.EndpointID) bool {
		i := slices.IndexFunc(rows, func(row logic.Entry) bool { return row.Endpoint == ep })
		return i >= 0 && rows[i].State != logic.Ready || i < 0 && ev.list.Reset
	})
	for _, row := range rows {
		if row.State != logic.Ready {
			n.caller.release(row.Endpoint)
		}
	}
	for id, to := range n.dir.eps { // a whole list leaves out what is gone
		if !to.gone.IsZero() {
			n.caller.release(id)
		}
	}
	n.next = append(n.next, logic.Endpoints{Form: form, Entries: rows})
}

// calls lists the endpoints that calls are out to.
func (n *Node) calls() map[logic.EndpointID]bool {
	out := map[logic.EndpointID]bool{}
	for _, h := range n.held {
		if h.call != nil {
			out[h.call.ep] = true
		}
	}
	return out
}

// pause waits for d or until ctx is over.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (n *Node) reply(ev replyEvent) {
	h := n.held[ev.call.id]
	if h == nil {
		return
	}
	if h.stop != nil {
		h.stop()
		h.stop, h.call = nil, nil
	}
	r := ev.result
	if r.wait > 0 {
		n.holdWait(ev.call.ep)
	}
	ended := h.over
	done := r.outcome == logic.Completed || r.over
	switch {
	case ended:
	case done:
		n.records = append(n.records, record{Op: opDone, ID: ev.call.id})
		n.finish(ev.call.id, h)
	default:
		n.records = append(n.records, record{Op: opOutcome, ID: ev.call.id, MayRun: mayHaveRun(r.outcome)})
	}
	if h.over {
		delete(n.held, ev.call.id)
	}
	n.next = append(n.next, logic.Reply{ID: ev.call.id, NoMore: ended || done, Endpoint: ev.call.ep,
		Attempt: ev.call.attempt, Outcome: r.outcome, Took: micros(ev.took), Wait: micros(r.wait)})
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Full && o != logic.RefusedConn && o != logic.Moot
}

// finish takes a message off the books; its id is remembered until its time is up.
func (n *Node) finish(id string, h *held) {
	h.over = true
	n.open--
	n.recent[id] = time.UnixMicro(h.msg.Deadline)
	if h.stop == nil {
		delete(n.held, id)
	}
}

// forget drops ids that nobody can hand in any more.
func (n *Node) forget() {
	now := time.Now()
	for id, t := range n.recent {
		if now.After(t) {
			delete(n.recent, id)
		}
	}
}

// step lets the module decide, writes the journal, and then acts, in order.
func (n *Node) step(work context.Context) {
	events := n.next
	n.next = nil
	actions := n.sender.Step(micros(time.Since(n.start)), events)
	answers := n.answers(actions)
	for i, p := range n.puts {
		again := slices.ContainsFunc(n.puts[:i], func(x putEvent) bool { return x.msg.ID == p.msg.ID })
		if answers[p.msg.ID] == "" && !again {
			m := p.msg
			n.records = append(n.records, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	now := time.Now().UnixMicro()
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			n.records = append(n.records, record{Op: opSend, ID: a.ID, At: now, Zone: n.dir.eps[a.Endpoint].zone})
		case logic.Refuse, logic.Fail:
			x := noticeOf(a)
			if answers[x.ID] == "" && n.journal.Entry(x.ID) != nil {
				n.records = append(n.records, record{Op: opEnd, ID: x.ID, Notice: &x})
			}
		}
	}
	err := n.journal.Append(n.records)
	n.records = nil
	if err != nil {
		n.log.Error("journal", "err", err)
	}
	for _, p := range n.puts {
		switch answer := answers[p.msg.ID]; {
		case answer != "":
			p.answer <- answer
		case err != nil: // not written, so not taken on
			p.answer <- busy(0)
			n.drop(p.msg.ID)
			n.next = append(n.next, logic.ClientGone{ID: p.msg.ID})
		default:
			p.answer <- answerOK
		}
	}
	n.puts = nil
	for _, a := range actions {
		n.act(work, a, answers, err == nil)
	}
}

// answers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (n *Node) answers(actions []logic.Action) map[string]string {
	out := map[string]string{}
	if len(n.puts) == 0 {
		return out
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.waits(a.ID) {
				out[a.ID] = busy(a.RetryIn)
			}
		case logic.Fail:
			if n.waits(a.ID) {
				out[a.ID] = answerFailed
			}
		}
	}
	return out
}

func noticeOf(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Refuse:
		return Notice{ID: a.ID, State: "returned", AfterMS: int64((a.RetryIn + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: "failed"}
	}
	return Notice{}
}

// drop forgets a message that was never taken on.
func (n *Node) drop(id string) {
	if h := n.held[id]; h != nil && !h.over {
		n.open--
		delete(n.held, id)
	}
}

func (n *Node) act(work context.Context, a logic.Action, answers map[string]string, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.callOut(work, a, written)
	case logic.Cancel:
		if h := n.held[a.ID]; h != nil && h.stop != nil && h.tries-1 == a.Attempt {
			h.stop()
		}
	case logic.Refuse, logic.Fail:
		x := noticeOf(a)
		if answers[x.ID] != "" {
			n.drop(x.ID)
			return
		}
		if h := n.held[x.ID]; h != nil && !h.over {
			n.finish(x.ID, h)
			n.notices.add(x)
		}
	case logic.SetTimer:
		n.due.Reset(span(a.Wait)) // it goes off no later than the one before
		n.token = a.Token
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.caller.release(a.Endpoint)
	case logic.Listen:
		n.disc.watch(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

// callOut makes an attempt. Without its record in the journal it is not made.
func (n *Node) callOut(work context.Context, a logic.CallOut, written bool) {
	h := n.held[a.ID]
	if h == nil { // never taken on; the module is still owed its one outcome
		n.next = append(n.next, logic.Reply{ID: a.ID, NoMore: true, Endpoint: a.Endpoint, Outcome: logic.Moot})
		return
	}
	attempt := h.tries
	h.tries++
	to := n.dir.eps[a.Endpoint]
	in := &call{id: a.ID, attempt: attempt, ep: a.Endpoint, addr: to.addr, giveUp: span(a.GiveUp), state: new(atomic.Int32)}
	c := n.cfg.Deploy.Settings.Classes[n.cfg.Classes[h.msg.Class]]
	in.fragile = c.Effect == logic.Unsafe
	if e := n.journal.Entry(a.ID); e != nil && e.MayRun && c.Effect == logic.Keyed { // a repeat: by the end of the window it must be written
		in.writeBy = time.UnixMicro(e.FirstMay).Add(span(c.Window))
	}
	ctx, stop := context.WithCancel(work)
	h.stop, h.call = stop, in
	var err error
	if in.request, err = deliverRequest(h.msg, to.addr, in.giveUp); err != nil || !written {
		if err != nil {
			n.log.Error("call", "err", err)
		}
		ev := replyEvent{in, result{outcome: logic.Moot}, 0}
		time.AfterFunc(retryPause, func() { n.events <- ev }) // a full disk, say: room may come
		return
	}
	go func() {
		at := time.Now()
		r := n.caller.do(ctx, in)
		took := time.Since(at)
		if r.local {
			pause(ctx, retryPause) // descriptors, say: room may come
		}
		n.events <- replyEvent{in, r, took}
	}()
}

// hold keeps calls that are still connecting from being written: what the module decided before it knew better
// would reach the endpoint long after. They end as never sent.
func (n *Node) hold(match func(ep logic.EndpointID) bool) {
	for _, h := range n.held {
		if h.stop != nil && match(h.call.ep) && h.call.state.CompareAndSwap(callConnecting, callHeld) {
			h.stop()
		}
	}
}

// holdWait holds calls to where a wait was told: the destination, or the one route where routes are apart.
func (n *Node) holdWait(ep logic.EndpointID) {
	to := n.dir.eps[ep]
	kinds := n.cfg.Deploy.Settings.Kinds
	apart := to.kind >= 0 && to.kind < len(kinds) && kinds[to.kind].Apart
	n.hold(func(x logic.EndpointID) bool { return x == ep || !apart && n.dir.eps[x].dest == to.dest })
}

func (n *Node) probe(work context.Context, ep logic.EndpointID) {
	addr := n.dir.eps[ep].addr
	go func() {
		out := logic.RefusedConn
		if req, err := probeRequest(addr); err == nil {
			out = n.caller.do(work, &call{ep: ep, addr: addr, giveUp: probeTime, request: req, state: new(atomic.Int32)}).outcome
		}
		n.events <- healthEvent{ep, out}
	}()
}
