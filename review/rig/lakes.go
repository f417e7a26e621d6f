package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// A small deployment like lakes-gas-sched: two senders, eight partners with two endpoints each, 22 messages a second.

const (
	lakesSenders  = 2
	lakesPartners = 8
	lakesRate     = 22 // messages a second, of all clients
	lakesSeed     = 61 // of the traffic and of the work of each call
)

// lakesClasses returns the classes; the payment has the given effect.
func lakesClasses(payment string) []class {
	return []class{
		{Name: "nomination", Aim: 2, Deadline: 24, Worth: 1, Late: 0.4, Effect: "dedup", Group: "all", Window: 25},
		{Name: "imbalance-payment", Aim: 3, Deadline: 16, Worth: 3, Late: 0.5, Effect: payment, Group: "all", Window: 5},
		{Name: "scheduled-quantity", Aim: 2.5, Deadline: 16, Worth: 4, Late: 0.4, Effect: "retryable", Group: "all", Window: 5},
	}
}

// lakesDeployment returns the configuration of a sender, with the classes as they are at first.
func lakesDeployment(me int, discovery string, known list) deployment {
	return deployment{senders: lakesSenders, me: me, mode: "on_request", classes: lakesClasses("fragile"),
		tenants: []tenant{{"lakeshore-gas", 15, 0.58}, {"bay-county-util", 7, 0.26}, {"north-shore-coop", 5, 0.16}},
		kinds:   []string{"interstate-pipeline", "local-shipper"}, separate: []bool{true, false}, batch: []int{1, 1},
		slots: 6, open: 69, attempts: 6, drainGrace: 2, connIdle: 10, discovery: discovery, known: known, maxRetryAfter: 2}
}

// lakes is the deployment with its stand-ins.
type lakes struct {
	*rig
	platform  *platform
	proxies   []*proxy // of the senders, to the platform
	senders   []*sender
	clients   []*clients // of the senders
	processes []*process
	endpoints []*endpoint

	firstPartner int // the usual traffic goes to this partner and those after it

	mu     sync.Mutex
	rng    *rand.Rand
	sent   []*message
	faults map[string]int  // by id of the message: how many of its calls are still to be answered with 500
	hung   map[string]bool // by name of the endpoint: it answers no call
}

// startLakes starts the deployment and waits until its senders are ready.
func startLakes(r *rig) (*lakes, error) {
	l := &lakes{rig: r, faults: map[string]int{}, rng: rand.New(rand.NewPCG(lakesSeed, 1))}
	r.note("rig", "seed %d", lakesSeed)
	known := list{Generation: 41, Reset: true}
	for i := range 2 * lakesPartners {
		e, err := r.newEndpoint(fmt.Sprintf("e-%02d", i), l.decide)
		if err != nil {
			return nil, err
		}
		l.endpoints = append(l.endpoints, e)
		known.Instances = append(known.Instances, instance{ID: e.name, HostPort: e.ln.Addr().String(), Zone: "north",
			Kind: "local-shipper", Cell: i / 2, Lifecycle: "up", Weight: 8})
	}
	var err error
	if l.platform, err = r.newPlatform(known); err != nil {
		return nil, err
	}
	for i := range lakesSenders {
		proxy, err := newProxy(l.platform.addr())
		if err != nil {
			return nil, err
		}
		s, err := r.newSender(fmt.Sprintf("n%d", i), lakesDeployment(i, proxy.addr(), known))
		if err != nil {
			return nil, err
		}
		p, err := s.start()
		if err != nil {
			return nil, err
		}
		l.proxies = append(l.proxies, proxy)
		l.senders, l.processes = append(l.senders, s), append(l.processes, p)
		l.clients = append(l.clients, &clients{r: r, addr: s.listen})
	}
	for i, s := range l.senders {
		if err := s.awaitReady(l.processes[i]); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// decide answers a call with 200 after its work, or with 500 if that is its lot.
func (l *lakes) decide(endpoint, id string) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hung[endpoint] {
		return verdict{}
	}
	if l.faults[id] > 0 {
		l.faults[id]--
		return verdict{30 * time.Millisecond, 500}
	}
	return verdict{time.Duration(150+l.rng.IntN(200)) * time.Millisecond, 200}
}

// tenantOf returns the tenant whose messages a partner gets.
func tenantOf(dest string) string {
	switch dest {
	case "5", "6":
		return "bay-county-util"
	case "7":
		return "north-shore-coop"
	}
	return "lakeshore-gas"
}

// newMessage returns a message of a class with a new id.
func (l *lakes) newMessage(class, dest string) *message {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := fmt.Sprintf("%016x", l.rng.Uint64())
	m := &message{id: id, class: class, tenant: tenantOf(dest), dest: dest, body: "body of " + id, left: 16 * time.Second}
	if class == "nomination" {
		m.key, m.left = fmt.Sprintf("%016x", l.rng.Uint64()), 24*time.Second
	}
	l.sent = append(l.sent, m)
	return m
}

// traffic hands in messages at the usual rate until a time of the run.
func (l *lakes) traffic(until time.Duration) {
	rng := rand.New(rand.NewPCG(lakesSeed, 2))
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for n := 0; time.Since(l.began) < until; n++ {
		name := "nomination"
		switch x := rng.IntN(100); {
		case x < 31:
			name = "imbalance-payment"
		case x < 59:
			name = "scheduled-quantity"
		}
		m, s := l.newMessage(name, strconv.Itoa(l.firstPartner+rng.IntN(lakesPartners-l.firstPartner))), l.clients[n%lakesSenders]
		waiting.Go(func() { s.put(m) })
		time.Sleep(time.Second / lakesRate)
	}
}

// callsByMessage returns the calls of all endpoints by id of the message, in the order of their arrival, and how many
// there were and were answered with 500.
func (l *lakes) callsByMessage() (calls map[string][]call, all, errors int) {
	calls = map[string][]call{}
	for _, e := range l.endpoints {
		for _, c := range e.received() {
			calls[c.id] = append(calls[c.id], c)
			all++
			if c.status == 500 {
				errors++
			}
		}
	}
	for _, list := range calls {
		slices.SortFunc(list, func(a, b call) int { return a.at.Compare(b.at) })
	}
	return calls, all, errors
}
