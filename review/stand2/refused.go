package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	badClients      = 8                      // connections of bad clients
	badCommands     = 200                    // that a bad client sends at once
	badTime         = 10 * time.Second       // for which bad clients are there
	badTimeLeft     = 100 * time.Millisecond // that their message has left
	afterBadTime    = 16 * time.Second       // in which the sender is judged once they have gone
	usualInterval   = 140 * time.Millisecond // between two messages of the usual clients
	leastRefused    = 15                     // messages, over leastRefusing, all refused with no call: the rule is broken
	leastRefusing   = 4 * time.Second
	recoveryAllowed = 2 * time.Second // for what was begun while the bad clients were there
)

// playBadClient hands in hundreds of commands at once, and the same again as soon as they are turned away, until a time.
func playBadClient(addr string, number int, until time.Time, refused, other *atomic.Int64) {
	var requests bytes.Buffer
	for k := range badCommands {
		id := fmt.Sprintf("bad%d-%d", number, k)
		list := fmt.Sprintf("c=imbalance-payment,t=lakeshore-gas,d=%d,dest=1", badTimeLeft.Milliseconds())
		fmt.Fprintf(&requests, "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$3\r\npay\r\n", len(id), id, len(list), list)
	}
	for time.Now().Before(until) {
		c, err := dialClient(addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for err == nil && time.Now().Before(until) {
			err = sendAtOnce(c.conn, requests.Bytes())
			for k := 0; k < badCommands && err == nil; k++ {
				var line string
				if line, err = c.r.ReadString('\n'); err != nil {
					break
				}
				if line[0] == '-' {
					refused.Add(1)
				} else {
					other.Add(1)
				}
			}
		}
		c.conn.Close()
	}
}

func sendAtOnce(conn net.Conn, b []byte) error {
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := conn.Write(b)
	return err
}

// refusesAll lets bad clients hand in messages with little time left, which are turned away, for some seconds, and looks
// whether the sender still takes anything on once they have gone.
func refusesAll(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	var servers []*endpoint
	for cell := 1; cell <= 5; cell++ {
		e, err := newEndpoint(w.rec, fmt.Sprintf("s-%d", cell), cell, "", func(string) answer { return answer{status: 200, delay: 200 * time.Millisecond} })
		if err != nil {
			return nil, err
		}
		p.set(e.up())
		servers = append(servers, e)
	}
	s, err := newSender(w.rec, w.root, w.dir, p.addr, lakesSettings(), p.whole())
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
	badUntil := time.Now().Add(badTime)
	var bad sync.WaitGroup
	var refused, other atomic.Int64
	if w.trouble {
		w.rec.printf("%d bad clients begin", badClients)
		for i := range badClients {
			bad.Go(func() { playBadClient(s.listen, i, badUntil, &refused, &other) })
		}
	}
	var judgedFrom time.Time
	var judged []*message
	for i := 0; time.Now().Before(badUntil.Add(afterBadTime)); i++ {
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "imbalance-payment", dest: 1 + i%5, deadline: 16 * time.Second, body: "pay"}
		s.put(m)
		if time.Now().After(badUntil.Add(recoveryAllowed)) {
			if judgedFrom.IsZero() {
				bad.Wait()
				w.rec.printf("the bad clients have gone: %d of their commands refused, %d answered otherwise", refused.Load(), other.Load())
				judgedFrom = time.Now()
			} else {
				judged = append(judged, m)
			}
		}
		time.Sleep(usualInterval)
	}
	if !s.running() {
		return nil, errors.New("the sender has ended")
	}
	calls, accepted := 0, 0
	for _, e := range servers {
		for _, r := range e.all() {
			if r.at.After(judgedFrom) {
				calls++
			}
		}
	}
	for _, m := range judged {
		if m.taken() {
			accepted++
		} else if !strings.HasPrefix(m.answer, "-BUSY") {
			return nil, fmt.Errorf("message %s was not refused, but: %s", m.id, m.answer)
		}
	}
	if w.trouble && refused.Load() == 0 {
		return nil, errors.New("no command of the bad clients was refused")
	}
	w.rec.printf("since %v after the bad clients had gone: %d messages of usual clients, %d taken on, %d calls", recoveryAllowed, len(judged), accepted, calls)
	if len(judged) < leastRefused || judged[len(judged)-1].sentAt.Sub(judged[0].sentAt) < leastRefusing {
		return nil, fmt.Errorf("only %d messages were handed in", len(judged))
	}
	if accepted == 0 && calls == 0 {
		return []string{fmt.Sprintf("the sender refused all %d messages of %v, with no call, long after the bad clients had gone",
			len(judged), judged[len(judged)-1].sentAt.Sub(judged[0].sentAt).Round(time.Second))}, nil
	}
	return nil, nil
}
