package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// addressTakenOver restarts a sender with SIGKILL where lists are pushed. While it is away, an endpoint goes and a new
// endpoint of another partner comes up at its address. The agent has both changes before the sender starts, and answers at
// once.
func addressTakenOver(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	var open atomic.Bool // set once partner 1 is below its limit again, after the restart
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
	one, err := add("s-one", 1, "", func(string) answer {
		if open.Load() {
			return answer{status: 200, delay: 50 * time.Millisecond}
		}
		return answer{status: 429, wait: 900}
	})
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
	dest := map[string]int{}
	for i := range 3 {
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "charges", dest: 1, deadline: 16 * time.Second, body: "charge"}
		s.put(m)
		if !m.taken() {
			return nil, fmt.Errorf("message %s was not taken on", m.id)
		}
		dest[m.id] = m.dest
		time.Sleep(100 * time.Millisecond)
	}
	s.kill() // the file of its next start holds the list that it has now
	open.Store(true)
	if w.trouble {
		time.Sleep(50 * time.Millisecond)
		p.set(one.entry("removed"))
		time.Sleep(600 * time.Millisecond) // the grace after the change is over
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
		time.Sleep(750 * time.Millisecond)
	} else {
		time.Sleep(1400 * time.Millisecond)
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
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
