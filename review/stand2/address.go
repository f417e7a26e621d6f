package main

import (
	"fmt"
	"time"
)

// addressTakenOver restarts a sender with SIGKILL. While it is away, an endpoint goes and a new endpoint of another
// partner comes up at its address.
func addressTakenOver(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	p.delay = 400 * time.Millisecond // of the 250 ms to 1 s that a call takes
	full := true                     // partner 1 is above its limit until the restart
	one, err := newEndpoint(w.rec, "s-one", 1, "", func(string) answer {
		if full {
			return answer{status: 429, wait: 800}
		}
		return answer{status: 200}
	})
	if err != nil {
		return nil, err
	}
	two, err := newEndpoint(w.rec, "s-two", 2, "", func(string) answer { return answer{status: 200} })
	if err != nil {
		return nil, err
	}
	p.set(one.up(), two.up())
	set := settings()
	set["balancers"] = 3
	s, err := newSender(w.rec, w.root, w.dir, p.addr, set, p.whole())
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
	time.Sleep(500 * time.Millisecond)
	var messages []*message
	for i := range 3 {
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "imbalance-payment", dest: 1, deadline: 16 * time.Second, body: "pay"}
		s.put(m)
		messages = append(messages, m)
		time.Sleep(100 * time.Millisecond)
	}
	s.kill()
	full = false
	servers := []*endpoint{one, two}
	if w.trouble {
		one.stop()
		time.Sleep(100 * time.Millisecond)
		p.set(one.entry("removed"))
		time.Sleep(6400 * time.Millisecond) // the change counts as told after 6 s
		replacement, err := newEndpoint(w.rec, "s-one-b", 1, "", func(string) answer { return answer{status: 200} })
		if err != nil {
			return nil, err
		}
		taker, err := newEndpoint(w.rec, "s-two-b", 2, one.addr, func(string) answer { return answer{status: 200} })
		if err != nil {
			return nil, err
		}
		servers = append(servers, replacement, taker)
		p.set(replacement.up(), taker.up())
		time.Sleep(time.Second)
	} else {
		time.Sleep(7500 * time.Millisecond)
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	var broken []string
	dest := map[string]int{}
	for _, m := range messages {
		dest[m.id] = m.dest
	}
	for _, e := range servers {
		for _, r := range e.all() {
			if d, known := dest[r.id]; !known || d != r.cell {
				broken = append(broken, fmt.Sprintf("message %s for partner %d was sent to endpoint %s of partner %d", r.id, d, r.endpoint, r.cell))
			}
		}
	}
	return broken, nil
}
