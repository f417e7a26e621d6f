package fleet

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/traffic"
)

// Feed submits messages for one partner to each running sender, evenly spaced over the fleet,
// whatever the replies.
type Feed struct {
	Partner string  // name of the partner
	Class   string  // name of a class of the configuration, such as "safe" of PartnerConfig
	Rate    float64 // messages per second and sender

	Accepted, Rejected, Unanswered atomic.Int64 // by reply; Unanswered counts failed writes only
}

// writeTimeout bounds the write of one message, which can block while the sender is paused.
const writeTimeout = 5 * time.Second

// Run submits messages until stop is closed. It then closes its connections, so that replies still on
// the way are not counted, and returns when its goroutines have ended.
func (d *Feed) Run(f *Fleet, stop <-chan struct{}) {
	var all sync.WaitGroup
	interval := time.Duration(float64(time.Second) / d.Rate)
	for i, s := range f.senders {
		all.Go(func() {
			first := time.NewTimer(interval * time.Duration(i) / time.Duration(len(f.senders)))
			defer first.Stop()
			select {
			case <-stop:
			case <-first.C:
				d.feedSender(s, interval, stop)
			}
		})
	}
	all.Wait()
}

// feedSender submits a message to one sender at each interval until stop is closed. It reconnects
// after a failed write; without a connection, it skips the intervals in which the sender is not
// running or refuses one.
func (d *Feed) feedSender(s *Sender, interval time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var conn *traffic.RESP
	var answers sync.WaitGroup
	disconnect := func() {
		if conn != nil {
			conn.Close()
			answers.Wait()
			conn = nil
		}
	}
	defer func() { disconnect() }()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if conn == nil {
			if !s.Running() {
				continue
			}
			c, err := traffic.DialRESP(s.RESP)
			if err != nil {
				continue
			}
			conn = c
			answers.Go(func() { d.readReplies(c) })
		}
		id := fmt.Sprintf("%s-%d-%d", s.Name, s.PID(), n)
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := conn.Put("0", id, fmt.Sprintf("c=%s,d=6000,dest=%s", d.Class, d.Partner), []byte("body of "+id)); err != nil {
			d.Unanswered.Add(1)
			disconnect()
		}
	}
}

// readReplies counts the replies on a connection until it is closed.
func (d *Feed) readReplies(c *traffic.RESP) {
	for {
		line, err := c.Answer()
		switch {
		case err != nil:
			return
		case line == "+OK":
			d.Accepted.Add(1)
		default:
			d.Rejected.Add(1)
		}
	}
}

// PartnerConfig returns the part of a configuration with the classes "safe" and "unsafe", one for
// each of these effects, and an entry for each given partner. It is used as [Options].Config.
func PartnerConfig(list ...*partner.Partner) string {
	text := ""
	for _, class := range []string{"safe", "unsafe"} {
		text += fmt.Sprintf("[[class]]\nname = %q\neffect = %q\naim = \"2s\"\ndeadline = \"6s\"\n", class, class)
	}
	for _, p := range list {
		text += fmt.Sprintf("[[partner]]\nname = %q\nendpoints = [%q]\nrate = %d\n", p.Name(), p.Addr(), p.Rate())
	}
	return text
}

// RecordCalls adds the calls that a partner has recorded to the timeline, in place of those of an
// earlier call.
func (t *Timeline) RecordCalls(p *partner.Partner) {
	var rows []CallRow
	for _, c := range p.Calls() {
		rows = append(rows, CallRow{At: t.Offset(c.At), From: c.From, ID: c.ID})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Calls[p.Name()] = rows
}

// WindowsOverRate counts the windows of one second, each beginning at a call, that hold more calls
// than rate. It returns their number and the largest number of calls in one of them; 0 if there is
// none. The calls are in order of time.
func WindowsOverRate(calls []partner.Call, rate int) (windows int, worst int) {
	last := 0
	for i := range calls {
		for last < len(calls) && calls[last].At.Sub(calls[i].At) < time.Second {
			last++
		}
		if n := last - i; n > rate {
			windows++
			worst = max(worst, n)
		}
	}
	return windows, worst
}

// MeanRate returns the mean rate of calls per second from an address in an interval. A port in the
// address is ignored; an empty address counts all calls.
func MeanRate(calls []partner.Call, addr string, from, to time.Time) float64 {
	n := 0
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	for _, c := range calls {
		if !c.At.Before(from) && c.At.Before(to) && (host == "" || c.From == host) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}
