package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// vanishedEndpoint is the address of an endpoint whose machine has vanished: connections to it never come up.
type vanishedEndpoint struct {
	listener net.Listener
	fillers  []net.Conn // fill the queue of connections that nobody accepts
}

// newVanishedEndpoint returns an address at which new connections never come up.
func newVanishedEndpoint() (*vanishedEndpoint, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	v := &vanishedEndpoint{}
	if v.listener, err = net.FileListener(file); err != nil {
		return nil, err
	}
	for range 10 {
		conn, err := net.DialTimeout("tcp", v.listener.Addr().String(), 300*time.Millisecond)
		if err != nil {
			return v, nil // the queue is full
		}
		v.fillers = append(v.fillers, conn)
	}
	return nil, fmt.Errorf("connections still come up after %d", len(v.fillers))
}

// release makes room in the queue.
func (v *vanishedEndpoint) release() {
	for _, conn := range v.fillers {
		conn.Close()
	}
}

// untriedGivenUp restarts a sender with SIGKILL while the connections to one of five endpoints do not come up.
func untriedGivenUp(w *world) ([]string, error) {
	p, err := newPlatform(w.rec)
	if err != nil {
		return nil, err
	}
	delivered := func(string) answer { return answer{status: 200, delay: 100 * time.Millisecond} }
	for i := 2; i <= 5; i++ {
		e, err := newEndpoint(w.rec, fmt.Sprintf("s-%d", i), i, "", delivered)
		if err != nil {
			return nil, err
		}
		p.set(e.up())
	}
	var vanished *vanishedEndpoint
	var first *endpoint
	if w.trouble {
		if vanished, err = newVanishedEndpoint(); err != nil {
			return nil, err
		}
		first = &endpoint{rec: w.rec, name: "s-1", cell: 1, addr: vanished.listener.Addr().String()}
	} else if first, err = newEndpoint(w.rec, "s-1", 1, "", func(string) answer { return answer{status: 200, delay: 100 * time.Millisecond} }); err != nil {
		return nil, err
	}
	p.set(first.up())
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
	var messages []*message
	for i := range 12 {
		m := &message{id: fmt.Sprintf("7f00000000000%03d", i), class: "imbalance-payment", dest: 1 + i%5, deadline: 16 * time.Second, body: "pay"}
		s.put(m)
		messages = append(messages, m)
	}
	time.Sleep(500 * time.Millisecond)
	untried := map[string]bool{}
	for _, m := range messages {
		if m.taken() && m.dest == 1 && len(first.runsOf(m.id)) == 0 {
			untried[m.id] = true
		}
	}
	s.kill()
	if w.trouble && len(untried) == 0 {
		return nil, errors.New("no message was untried at the restart")
	}
	if w.trouble {
		vanished.release()
		first = serveEndpoint(w.rec, first.name, first.cell, vanished.listener, delivered)
	}
	time.Sleep(600 * time.Millisecond)
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	givenUp := 0
	for _, m := range messages {
		if !untried[m.id] {
			continue
		}
		n, ended := p.noticeOf(m.id)
		if ended && len(first.runsOf(m.id)) == 0 && n.at.Sub(m.sentAt) < m.deadline/2 {
			givenUp++
		}
	}
	w.rec.printf("untried at the restart: %d; given up early with no call: %d", len(untried), givenUp)
	if 2*givenUp > len(untried) {
		return []string{fmt.Sprintf("of %d messages that the restart found untried, %d were given up early with no call", len(untried), givenUp)}, nil
	}
	return nil, nil
}
