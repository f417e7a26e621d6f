package main

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

// lateBy is how long after the time of a message its end may still come; later it is lost.
const lateBy = 550 * time.Millisecond

// playSilent lets a quarter of the endpoints hang for 16.5 s, and meanwhile all open connections between the senders and
// the platform fall silent, once. New connections come up at once. Each message that was taken on must have its end in time.
func playSilent(r *rig) error {
	l, err := startLakes(r)
	if err != nil {
		return err
	}
	l.firstPartner = 2 // partners 0 and 1 get the marked payments only
	var traffic sync.WaitGroup
	traffic.Go(func() { l.traffic(29 * time.Second) })
	r.at(8 * time.Second)
	r.note("endpoints", "those of partners 0 and 1 hang")
	l.mu.Lock()
	l.hung = map[string]bool{"e-00": true, "e-01": true, "e-02": true, "e-03": true}
	l.mu.Unlock()
	var early, late []*message
	for i, c := range l.clients { // one payment each whose time is up before, and one after the connections fall silent
		for _, left := range []time.Duration{13 * time.Second, 16 * time.Second} {
			m := l.newMessage("imbalance-payment", strconv.Itoa(i))
			m.left = left
			c.put(m)
			if left < 16*time.Second {
				early = append(early, m)
			} else {
				late = append(late, m)
			}
		}
	}
	go func() {
		r.at(24500 * time.Millisecond)
		r.note("endpoints", "those of partners 0 and 1 answer again")
		l.mu.Lock()
		l.hung = nil
		l.mu.Unlock()
	}()
	r.at(22500 * time.Millisecond)
	calls, _, _ := l.callsByMessage()
	for _, m := range append(slices.Clone(early), late...) {
		_, over := l.platform.noticeOf(m.id)
		if !m.accepted || len(calls[m.id]) != 1 || calls[m.id][0].status != 0 || over != slices.Contains(early, m) {
			return fmt.Errorf("payment %s was answered %q, sent %d times, has ended: %v", m.id, m.answer, len(calls[m.id]), over)
		}
	}
	if r.trouble {
		for i, p := range l.proxies {
			n := p.silence()
			r.note("network", "n%d: %d connections to the platform fall silent", i, n)
			if n == 0 {
				return fmt.Errorf("n%d has no connection to the platform", i)
			}
		}
	}
	traffic.Wait()
	r.at(55 * time.Second)
	calls, _, _ = l.callsByMessage()
	for _, m := range l.sent {
		if !m.accepted {
			continue
		}
		due, delivered := m.sentAt.Add(m.left+lateBy), false
		for _, c := range calls[m.id] {
			delivered = delivered || c.status == 200 && c.answered
		}
		switch n, ok := l.platform.noticeOf(m.id); {
		case delivered:
		case !ok:
			l.fail("%s %s was taken on at %.3f and has no end", m.class, m.id, m.sentAt.Sub(l.began).Seconds())
		case n.at.After(due):
			l.fail("%s %s: its time was up at %.3f, and its notice came at %.3f", m.class, m.id,
				m.sentAt.Add(m.left).Sub(l.began).Seconds(), n.at.Sub(l.began).Seconds())
		}
	}
	return nil
}
