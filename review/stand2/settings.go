package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// clone returns a deep copy of settings.
func clone(in map[string]any) (out map[string]any) {
	text, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out
}

// settingsReplaced replaces the configuration and sends SIGHUP: a class is added, and the messages of another must not
// be repeated any more. The added class has no aim_stretch, which the classes before it have.
func settingsReplaced(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	called := map[string]bool{} // used by the first endpoint only
	var mu sync.Mutex
	var servers []*endpoint
	for cell := 1; cell <= 4; cell++ {
		e, err := newEndpoint(w.rec, fmt.Sprintf("s-%d", cell), cell, "", func(id string) answer {
			mu.Lock()
			defer mu.Unlock()
			first := !called[id]
			called[id] = true
			if cell == 1 && first {
				return answer{status: 500, delay: 100 * time.Millisecond}
			}
			return answer{status: 200, delay: 100 * time.Millisecond}
		})
		if err != nil {
			return nil, err
		}
		p.set(e.up())
		servers = append(servers, e)
	}
	before := lakesSettings()
	for _, c := range before["classes"].([]any) {
		c.(map[string]any)["aim_stretch"] = 0.5
	}
	s, err := newSender(w.rec, w.root, w.dir, p.addr, before, p.whole())
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
	time.Sleep(1500 * time.Millisecond)
	after := clone(before)
	classes := after["classes"].([]any)
	classes[2].(map[string]any)["idempotency"] = "fragile" // scheduled-quantity
	added := clone(classes[2].(map[string]any))
	added["name"], added["idempotency"] = "status-update", "retryable"
	if w.trouble {
		delete(added, "aim_stretch")
	}
	after["classes"] = append(classes, added)
	s.config["settings"] = after
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	w.rec.printf("the configuration is replaced: scheduled-quantity becomes fragile, status-update is added (with aim_stretch: %v)", !w.trouble)
	w.rec.printf("sender: SIGHUP")
	s.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(2 * time.Second)
	var messages []*message
	for i := range 12 {
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "scheduled-quantity", dest: 1 + i%4, deadline: 16 * time.Second, body: "quantity"}
		s.put(m)
		messages = append(messages, m)
		time.Sleep(200 * time.Millisecond)
	}
	s.put(&message{id: "7f00000000000900", class: "status-update", dest: 2, deadline: 16 * time.Second, body: "status"})
	for _, m := range messages {
		if !m.taken() {
			return nil, fmt.Errorf("message %s was not taken on", m.id)
		}
	}
	time.Sleep(17 * time.Second)
	if !s.running() {
		return nil, errors.New("the sender has ended")
	}
	var broken []string
	for _, m := range messages {
		calls := 0
		for _, e := range servers {
			calls += len(e.runsOf(m.id))
		}
		if calls == 0 {
			return nil, fmt.Errorf("message %s was never sent", m.id)
		}
		if calls > 1 {
			broken = append(broken, fmt.Sprintf("message %s must not be repeated, and was sent %d times: the first call may have run (500)", m.id, calls))
		}
	}
	return broken, nil
}
