package main

import (
	"fmt"
	"time"
)

const (
	handInAfter  = 250 * time.Millisecond  // SIGTERM: new connections go on coming for 0.2 to 0.4 s
	killAfter    = 4200 * time.Millisecond // SIGTERM: no sooner than 3.7 s
	startAfter   = 600 * time.Millisecond  // the time of SIGKILL
	graceIsOver  = 600 * time.Millisecond  // after the change was told: 0.5 s and 50 ms
	afterRestart = 6 * time.Second         // in which calls are judged
)

// addressTakenOver restarts a sender as planned, where lists are pushed. While it is away, an endpoint goes and a new
// endpoint of another partner comes up at its address. The agent has both changes before the sender starts, and answers at
// once.
func addressTakenOver(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	var servers []*endpoint
	add := func(name string, cell int, addr string, decide func(string) answer) (*endpoint, error) {
		e, err := newEndpoint(w.rec, name, cell, addr, decide)
		if err == nil {
			e.atWaw = true
			servers = append(servers, e)
		}
		return e, err
	}
	delivered := func(string) answer { return answer{status: 200, delay: 50 * time.Millisecond} }
	one, err := add("s-one", 1, "", delivered)
	if err != nil {
		return nil, err
	}
	two, err := add("s-two", 2, "", delivered)
	if err != nil {
		return nil, err
	}
	p.set(one.up(), two.up())
	s, err := newSender(w.rec, w.root, w.dir, p.addr, wawSettings(), p.whole())
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	defer s.stopAll()
	if err := s.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	terminatedAt := s.terminate()
	time.Sleep(time.Until(terminatedAt.Add(handInAfter)))
	dest := map[string]int{}
	for i := range 5 { // a clump for partner 1
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "charges", dest: 1, deadline: 16 * time.Second, body: "charge"}
		s.put(m)
		if !m.taken() {
			return nil, fmt.Errorf("message %s was not taken on", m.id)
		}
		dest[m.id] = m.dest
	}
	select { // the file of its next start holds the list that it has now
	case <-s.exited:
	case <-time.After(time.Until(terminatedAt.Add(killAfter))):
		s.kill()
	}
	if called := len(one.all()); called >= len(dest) {
		return nil, fmt.Errorf("all %d messages were sent before the process ended", called)
	}
	if w.trouble {
		time.Sleep(50 * time.Millisecond)
		p.set(one.entry("removed"))
		time.Sleep(graceIsOver)
		one.stop()
		replacement, err := add("s-one-b", 1, "", delivered)
		if err != nil {
			return nil, err
		}
		taker, err := add("s-two-b", 2, one.addr, delivered)
		if err != nil {
			return nil, err
		}
		p.set(replacement.up(), taker.up())
	}
	time.Sleep(time.Until(terminatedAt.Add(killAfter + startAfter)))
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(afterRestart)
	var broken []string
	for _, e := range servers {
		for _, r := range e.all() {
			if cell, known := dest[r.id]; !known || cell != r.cell {
				broken = append(broken, fmt.Sprintf("message %s for partner %d was sent to endpoint %s of partner %d", r.id, cell, r.endpoint, r.cell))
			}
		}
	}
	return broken, nil
}
