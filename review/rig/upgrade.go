package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

// playUpgrade sends a new configuration that lets payments be repeated, and upgrades the senders right after it.
// Payments that are handed in before the rules of the new configuration bind must not run twice.
func playUpgrade(r *rig) error {
	l, err := startLakes(r)
	if err != nil {
		return err
	}
	var traffic sync.WaitGroup
	traffic.Go(func() { l.traffic(40 * time.Second) })
	r.at(28 * time.Second)
	first := time.Now()
	r.note("platform", "configuration: imbalance-payment may be repeated")
	for i, s := range l.senders {
		d := lakesDeployment(i, l.proxies[i].addr(), l.platform.list)
		d.classes = lakesClasses("retryable")
		if err := s.configure(d); err != nil {
			return err
		}
		s.signal(l.processes[i], syscall.SIGHUP)
	}
	var upgrades, ready sync.WaitGroup
	errs := make(chan error, len(l.senders))
	if r.trouble {
		time.Sleep(250 * time.Millisecond)
		for i, s := range l.senders {
			ready.Add(1)
			upgrades.Go(func() { errs <- s.upgrade(l.processes[i], ready.Done) })
		}
	}
	ready.Wait()
	time.Sleep(time.Until(first.Add(650 * time.Millisecond)))
	var marked []*message
	for i := range 4 {
		m := l.newMessage("imbalance-payment", strconv.Itoa(i))
		l.mu.Lock()
		l.faults[m.id] = 1
		l.mu.Unlock()
		l.clients[i%lakesSenders].put(m)
		marked = append(marked, m)
		time.Sleep(80 * time.Millisecond)
	}
	traffic.Wait()
	upgrades.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return l.judgePayments(marked, first.Add(newRules-margin))
}

// upgrade starts a second process of a sender, and ends the old one as the platform does once the new one says that
// it is ready. It calls ready then, or when it fails.
func (s *sender) upgrade(old *process, ready func()) error {
	done := sync.OnceFunc(ready)
	defer done()
	p, err := s.start()
	if err != nil {
		return err
	}
	operator := http.Client{Timeout: time.Second}
	for stop := time.Now().Add(6 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := operator.Get("http://" + p.console + "/_ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(stop) {
			return fmt.Errorf("%s: the new process is not ready: %s", s.name, tail(p.log))
		}
	}
	s.r.note("platform", "%s: process %d is ready", s.name, p.cmd.Process.Pid)
	done()
	s.signal(old, syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(3700 * time.Millisecond):
		s.signal(old, syscall.SIGKILL)
	}
	return nil
}
