package view

import (
	"testing"
	"time"
)

const lease = 3 * time.Second

func machine(now Time, with ...func(*Config)) *Machine {
	c := Config{Name: "a", Addr: "a:1", ID: 1, Incarnation: 1, MaxSenders: 3, MinShareTotal: 0.1, Lease: lease, Interval: lease / 10, MaxClockDrift: 0.01}
	for _, f := range with {
		f(&c)
	}
	return New(c, now)
}

func hello(seq uint64, with ...func(*Message)) *Message {
	m := &Message{WireVersion: WireVersion, From: "b", ID: 7, Incarnation: 2, Addr: "b:1", MaxSenders: 3, Seq: seq, Voter: true, RecognizedID: 1}
	for _, f := range with {
		f(m)
	}
	return m
}

// What is late, doubled, replayed, of an earlier life, without sense or of another
// version is told apart, and changes nothing that it must not.
func TestMessages(t *testing.T) {
	for name, x := range map[string]struct {
		msg     *Message
		state   State
		seq     uint64
		refused RefusalReason // 0 for none
	}{
		"next":               {hello(6), Reachable, 6, 0},
		"replayed":           {hello(5, func(m *Message) { m.Left = true }), Reachable, 5, 0},
		"late":               {hello(4, func(m *Message) { m.Voter = false }), Reachable, 5, 0},
		"of an earlier life": {hello(9, func(m *Message) { m.ID, m.Incarnation = 6, 1 }), Reachable, 5, StaleIncarnation},
		"from elsewhere":     {hello(9, func(m *Message) { m.ID, m.Incarnation, m.Addr = 8, 3, "b:2" }), Reachable, 5, NameInUse},
		"a later life":       {hello(1, func(m *Message) { m.ID, m.Incarnation = 8, 3 }), Reachable, 1, 0},
		"another version":    {hello(6, func(m *Message) { m.WireVersion = WireVersion + 1 }), OtherVersion, 6, 0},
		"no name":            {hello(6, func(m *Message) { m.From = "" }), Reachable, 5, 0},
		"no life":            {hello(6, func(m *Message) { m.ID = 0 }), Reachable, 5, 0},
		"too many rows":      {hello(6, func(m *Message) { m.PeerReports = make([]PeerReport, MaxPeerReports+1) }), Reachable, 5, 0},
		"left":               {hello(6, func(m *Message) { m.Left = true }), HasLeft, 6, 0},
	} {
		m := machine(0)
		m.HandleMessage(10*time.Millisecond, hello(5))
		r := m.HandleMessage(20*time.Millisecond, x.msg)
		s := m.seats["b"]
		if s.state != x.state || s.seq != x.seq {
			t.Errorf("%s: %v, message %d; want %v, %d", name, s.state, s.seq, x.state, x.seq)
		}
		var why RefusalReason
		for _, out := range r.Send {
			if out.Message.Refusal != nil {
				why = out.Message.Refusal.Reason
			}
		}
		if why != x.refused {
			t.Errorf("%s: refused with %d, want %d", name, why, x.refused)
		}
	}
}

// A fourth sender where there may be three is refused, until one is forgotten.
func TestSeats(t *testing.T) {
	m := machine(0)
	for i, name := range []string{"b", "c", "d"} {
		m.HandleMessage(Time(i), hello(1, func(x *Message) { x.From, x.Addr, x.ID = name, name+":1", uint64(10+i) }))
	}
	if m.seats["d"] != nil || len(m.seats) != 2 {
		t.Fatalf("%d others", len(m.seats))
	}
	if _, err := m.Forget(time.Second, "c"); err == nil {
		t.Error("one that was heard a second ago is forgotten")
	}
	m.Tick(2 * time.Second)
	if _, err := m.Forget(4*time.Second, "c"); err != nil {
		t.Error(err)
	}
	m.HandleMessage(4*time.Second, hello(1, func(x *Message) { x.From, x.Addr, x.ID = "d", "d:1", 12 }))
	if m.seats["d"] == nil || m.seats["c"] != nil {
		t.Error("no room was made")
	}
}

// Nobody who could take a whole rate alone does so before a lease has passed.
func TestAlone(t *testing.T) {
	m := machine(0, func(c *Config) { c.MaxSenders = 1 })
	if p := m.Tick(lease / 2).Share; p.At(lease/2) > 0.1 {
		t.Errorf("half a lease after the start: %+v", p)
	}
	for at := lease / 2; at < 4*lease/3; at += lease / 10 {
		m.Tick(at)
	}
	if p := m.Tick(4 * lease / 3).Share; p.At(4*lease/3) < 0.999 || p.At(4*lease/3+lease) != 0 {
		t.Errorf("after a lease: %+v", p)
	}
}
