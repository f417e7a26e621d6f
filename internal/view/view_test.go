package view

import (
	"testing"
	"time"
)

const lease = 3 * time.Second

// machine returns the machine of sender a in a cluster of at most three senders.
func machine(now Time, with ...func(*Config)) *Machine {
	c := Config{Name: "a", Addr: "a:1", ID: 1, Incarnation: 1, MaxSenders: 3, MinShareTotal: 0.1,
		Lease: lease, Interval: lease / 10, MaxClockDrift: 0.01}
	for _, f := range with {
		f(&c)
	}
	return New(c, now)
}

// heartbeat returns a heartbeat of sender b.
func heartbeat(seq uint64, with ...func(*Message)) *Message {
	m := &Message{WireVersion: WireVersion, From: "b", ID: 7, Incarnation: 2, Addr: "b:1", MaxSenders: 3,
		Seq: seq, Voter: true, RecognizedID: 1}
	for _, f := range with {
		f(m)
	}
	return m
}

// A message that is late, duplicated, replayed, malformed, or from an earlier incarnation or another version must not
// change the state of its sender beyond what that message allows.
func TestMessages(t *testing.T) {
	for name, test := range map[string]struct {
		msg     *Message
		state   State
		seq     uint64
		refused RefusalReason // 0 if no refusal is sent
	}{
		"next":     {heartbeat(6), Reachable, 6, 0},
		"replayed": {heartbeat(5, func(m *Message) { m.Left = true }), Reachable, 5, 0},
		"late":     {heartbeat(4, func(m *Message) { m.Voter = false }), Reachable, 5, 0},
		"earlier incarnation": {heartbeat(9, func(m *Message) { m.ID, m.Incarnation = 6, 1 }),
			Reachable, 5, StaleIncarnation},
		"another address": {heartbeat(9, func(m *Message) { m.ID, m.Incarnation, m.Addr = 8, 3, "b:2" }),
			Reachable, 5, NameInUse},
		"later incarnation": {heartbeat(1, func(m *Message) { m.ID, m.Incarnation = 8, 3 }), Reachable, 1, 0},
		"another version":   {heartbeat(6, func(m *Message) { m.WireVersion = WireVersion + 1 }), OtherVersion, 6, 0},
		"no name":           {heartbeat(6, func(m *Message) { m.From = "" }), Reachable, 5, 0},
		"no ID":             {heartbeat(6, func(m *Message) { m.ID = 0 }), Reachable, 5, 0},
		"too many reports": {heartbeat(6, func(m *Message) { m.PeerReports = make([]PeerReport, MaxPeerReports+1) }),
			Reachable, 5, 0},
		"left": {heartbeat(6, func(m *Message) { m.Left = true }), HasLeft, 6, 0},
	} {
		m := machine(0)
		m.HandleMessage(10*time.Millisecond, heartbeat(5))
		actions := m.HandleMessage(20*time.Millisecond, test.msg)
		peer := m.peers["b"]
		if peer.state != test.state || peer.lastSeq != test.seq {
			t.Errorf("%s: %v, message %d; want %v, %d", name, peer.state, peer.lastSeq, test.state, test.seq)
		}
		var reason RefusalReason
		for _, out := range actions.Send {
			if out.Message.Refusal != nil {
				reason = out.Message.Refusal.Reason
			}
		}
		if reason != test.refused {
			t.Errorf("%s: refused with %d, want %d", name, reason, test.refused)
		}
	}
}

// A fourth sender in a cluster of at most three is refused until one of the others is forgotten.
func TestMaxSenders(t *testing.T) {
	m := machine(0)
	for i, name := range []string{"b", "c", "d"} {
		m.HandleMessage(Time(i), heartbeat(1, func(x *Message) { x.From, x.Addr, x.ID = name, name+":1", uint64(10+i) }))
	}
	if m.peers["d"] != nil || len(m.peers) != 2 {
		t.Fatalf("%d peers", len(m.peers))
	}
	if _, err := m.Forget(time.Second, "c"); err == nil {
		t.Error("a peer that was heard a second ago could be forgotten")
	}
	m.Tick(2 * time.Second)
	if _, err := m.Forget(4*time.Second, "c"); err != nil {
		t.Error(err)
	}
	m.HandleMessage(4*time.Second, heartbeat(1, func(x *Message) { x.From, x.Addr, x.ID = "d", "d:1", 12 }))
	if m.peers["d"] == nil || m.peers["c"] != nil {
		t.Error("the new sender was not added in place of the forgotten one")
	}
}

// A sender that could use a whole rate alone must wait for a lease after its start: grants of its previous incarnation
// may be in force until then.
func TestSingleSenderWaitsForLease(t *testing.T) {
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
