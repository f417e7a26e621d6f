package cluster

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cometrack/internal/facts"
	"cometrack/internal/replicate"
	"cometrack/internal/view"
)

// Packets are accepted only if they are complete, unmodified and authenticated with a known key.
func TestPackets(t *testing.T) {
	first, second := keys{[]byte("one key of many letters")}, keys{[]byte("another key of letters")}
	valid, err := first.packView(&view.Message{WireVersion: 1, From: "a", ID: 1, RosterNames: []string{"a", "b"}})
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(valid)
	flipped[len(flipped)-1] ^= 1
	for name, x := range map[string]struct {
		keys keys
		b    []byte
		want error
	}{
		"valid":                    {first, valid, nil},
		"accepted by an older key": {append(second, first...), valid, nil},
		"wrong key":                {second, valid, errKey},
		"no key":                   {nil, valid, errKey},
		"modified":                 {first, flipped, errKey},
		"truncated":                {first, valid[:len(valid)-1], errKey},
		"truncated header":         {first, valid[:headerSize-1], errNotPacket},
		"empty":                    {first, nil, errNotPacket},
		"garbage":                  {first, bytes.Repeat([]byte("x"), 100), errNotPacket},
		"too large":                {first, make([]byte, maxPacket+1), errOversize},
	} {
		m := &view.Message{}
		if err := x.keys.unpackView(x.b, m); !errors.Is(err, x.want) ||
			err == nil && (m.From != "a" || len(m.RosterNames) != 2) {
			t.Errorf("%s: %v, %+v; want %v", name, err, m, x.want)
		}
	}
}

// Decoding and handling any payload with a valid MAC must not panic.
func FuzzPacket(f *testing.F) {
	b, _ := keys(nil).packView(&view.Message{WireVersion: 1, From: "a", PeerReports: []view.PeerReport{{Name: "b"}}})
	f.Add(b[headerSize:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload)+headerSize > maxPacket {
			return
		}
		m := &view.Message{}
		keys(nil).unpackView(append(append([]byte(viewMagic), payloadMAC(nil, payload)...), payload...), m)
		view.New(view.Config{Name: "x", Addr: "x:1", ID: 1, Incarnation: 1, MaxSenders: 3, MinShareTotal: 0.1,
			Lease: 1e9, Interval: 1e8}, 0).HandleMessage(1, m)
	})
}

// The MAC of packets with facts covers the magic number: a packet of the view with its magic number
// changed is rejected. Modified packets with a valid MAC must not panic, or put invalid facts into the
// replica.
func TestFactPackets(t *testing.T) {
	key := keys{[]byte("one key of many letters")}
	own, other := facts.Origin{Name: "a", Incarnation: 1}, facts.Origin{Name: "b", Incarnation: 2}
	good := &replicate.Message{Version: replicate.Version, From: other, SentAt: 1,
		Deltas: []facts.Delta{{Origin: other, UpTo: 1, ConsistentAt: 1,
			Facts: []facts.Fact{{Seq: 1, Subject: facts.Subject{Kind: facts.RequestedWait, Partner: "acme", Endpoint: "e"},
				TTL: time.Second}}}}}
	valid, err := key.packWithMagic(factsMagic, good)
	if err != nil {
		t.Fatal(err)
	}
	if err := key.unpack(valid, &replicate.Message{}); err != nil {
		t.Fatal(err)
	}
	if err := key.unpackView(valid, &view.Message{}); !errors.Is(err, errNotPacket) {
		t.Errorf("a packet of facts read as one of the view: %v", err)
	}
	relabeled, _ := key.packView(&view.Message{WireVersion: 1, From: "a", ID: 1})
	copy(relabeled, factsMagic)
	if err := key.unpack(relabeled, &replicate.Message{}); !errors.Is(err, errKey) {
		t.Errorf("a packet of the view with the magic number of facts: %v", err)
	}
	for i := range 4000 { // one bit flipped, with a valid MAC, as a faulty sender with the key might send it
		m, b := replicate.New(replicate.Config{Self: own, DigestInterval: time.Second, CatchUpTimeout: time.Second,
			Rate: 1}, 0), bytes.Clone(valid)
		m.SetPeers([]replicate.Peer{{Name: "b", Addr: "b:1"}})
		bit := headerSize*8 + i%(8*(len(b)-headerSize))
		b[bit/8] ^= 1 << (bit % 8)
		copy(b[len(factsMagic):headerSize], packetMAC(factsMagic, key[0], b[headerSize:]))
		got := &replicate.Message{}
		if key.unpack(b, got) == nil {
			m.Receive(2, got)
			for _, s := range m.Replica().List(2, "", 10) {
				if s.Remaining > facts.MaxTTL || s.Partner == "" {
					t.Fatalf("bit %d: %+v", bit, s)
				}
			}
		}
	}
}

// A state file that is truncated anywhere counts as none, so that the sender joins as a new member.
// Errors in a key file name the line.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	saved := savedState{Incarnation: 4, AdmittedAddr: "a:1",
		Senders: []view.Peer{{Name: "b", Addr: "b:1", ID: 3, Incarnation: 2}}}
	if err := saved.write(dir); err != nil {
		t.Fatal(err)
	}
	if got, err := readSavedState(dir); err != nil || got.Incarnation != 4 || got.AdmittedAddr != "a:1" ||
		len(got.Senders) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	path := filepath.Join(dir, stateFileName)
	text, _ := os.ReadFile(path)
	for i := range len(text) - 1 {
		os.WriteFile(path, text[:i], 0o600)
		if got, err := readSavedState(dir); err == nil || got.AdmittedAddr != "" || got.Senders != nil {
			t.Fatalf("truncated after %d bytes: %+v, %v", i, got, err)
		}
	}
	for text, want := range map[string]string{"": "no key", "# only this\n": "no key",
		"a good key of letters\nshort\n":             "keys:2: a key has",
		strings.Repeat("a good key of letters\n", 9): "keys:9: over"} {
		path := filepath.Join(dir, "keys")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadKeys(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against sending after a pause before the loop noticed it, and with a replica that is not
// caught up: the allowed share is 0, and after some ticks of catching up the minimum share.
func TestAllowed(t *testing.T) {
	start := now()
	for name, x := range map[string]struct {
		facts           bool
		sinceStep, wait time.Duration // since the last step; until the minimum share applies, 0 if not catching up
		want            float64
	}{
		"caught up":                {true, 0, 0, 0.9},
		"paused":                   {true, 4 * time.Second, 0, 0},
		"paused, facts not shared": {false, 4 * time.Second, 0, 0.9},
		"catching up":              {true, 0, time.Minute, 0},
		"catching up for longer":   {true, 0, -time.Second, 0.1},
	} {
		c := &Cluster{opts: Options{ShareFacts: x.facts, Interval: time.Second}}
		c.currentShare.Store(&view.Share{Current: 0.9, Until: start + time.Hour, Min: 0.1, StopAt: start + time.Hour})
		c.lastStep.Store(int64(start - x.sinceStep))
		if x.wait != 0 {
			c.minShareFrom.Store(int64(start + x.wait))
		}
		if got := c.AllowedShare(); got != x.want {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
	}
}
