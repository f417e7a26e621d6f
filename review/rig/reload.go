package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

const (
	// newRules is how long after SIGHUP the rules of the new classes begin to bind.
	newRules = 1200 * time.Millisecond
	// margin is left out of that time by the judge.
	margin = 100 * time.Millisecond
	// maxErrorRate is the largest share of calls that an endpoint answers with 500 on a day without trouble.
	maxErrorRate = 0.005
)

// playReload sends two new configurations in a row. The first one lets payments be repeated, the second one changes
// the number of attempts only. Payments that are handed in before the first one's rules bind must not run twice.
func playReload(r *rig) error {
	l, err := startLakes(r)
	if err != nil {
		return err
	}
	var traffic sync.WaitGroup
	traffic.Go(func() { l.traffic(40 * time.Second) })
	r.at(28 * time.Second)
	configure := func(attempts int) error {
		for i, s := range l.senders {
			d := lakesDeployment(i, l.proxies[i].addr(), l.platform.list)
			d.classes, d.attempts = lakesClasses("retryable"), attempts
			if err := s.configure(d); err != nil {
				return err
			}
			s.signal(l.processes[i], syscall.SIGHUP)
		}
		return nil
	}
	first := time.Now()
	r.note("platform", "configuration 1: imbalance-payment may be repeated")
	if err := configure(6); err != nil {
		return err
	}
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		r.note("platform", "configuration 2: 5 attempts")
		if err := configure(5); err != nil {
			return err
		}
	}
	time.Sleep(200 * time.Millisecond)
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
	time.Sleep(6 * time.Second)
	return l.judgePayments(marked, first.Add(newRules-margin))
}

// judgePayments checks that no payment that was taken on, and was handed in before a time, was called twice: calls are
// answered with 200 or with 500 alone, after which a message has run or may have. The marked ones are those of which the
// first call was to be answered with 500; if one was not, the case could not run.
func (l *lakes) judgePayments(marked []*message, before time.Time) error {
	calls, all, errors := l.callsByMessage()
	l.note("judge", "%d messages, %d calls, %d of them answered with 500", len(l.sent), all, errors)
	if float64(errors) > maxErrorRate*float64(all) {
		return fmt.Errorf("%d of %d calls were answered with 500", errors, all)
	}
	for _, m := range marked {
		if !m.accepted || m.sentAt.After(before) || len(calls[m.id]) == 0 || calls[m.id][0].status != 500 || !calls[m.id][0].answered {
			return fmt.Errorf("payment %s, handed in at %.3f, was answered %q and sent %d times", m.id,
				m.sentAt.Sub(l.began).Seconds(), m.answer, len(calls[m.id]))
		}
	}
	for _, m := range l.sent {
		if m.class == "imbalance-payment" && m.accepted && m.sentAt.Before(before) && len(calls[m.id]) > 1 {
			text := ""
			for _, c := range calls[m.id] {
				text += fmt.Sprintf(" %s at %.3f (answered %d)", c.endpoint, c.at.Sub(l.began).Seconds(), c.status)
			}
			l.fail("payment %s, handed in at %.3f, was sent %d times:%s", m.id, m.sentAt.Sub(l.began).Seconds(),
				len(calls[m.id]), text)
		}
	}
	return nil
}
