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

func TestPackets(t *testing.T) {
	one, two := keys{[]byte("one key of many letters")}, keys{[]byte("another key of letters")}
	whole, err := one.pack(&view.Message{WireVersion: 1, From: "a", ID: 1, RosterNames: []string{"a", "b"}})
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(whole)
	flipped[len(flipped)-1] ^= 1
	for name, x := range map[string]struct {
		keys keys
		b    []byte
		want error
	}{
		"whole":           {one, whole, nil},
		"an old key too":  {append(two, one...), whole, nil},
		"wrong key":       {two, whole, errKey},
		"no key":          {nil, whole, errKey},
		"changed":         {one, flipped, errKey},
		"cut off":         {one, whole[:len(whole)-1], errKey},
		"cut in its head": {one, whole[:headSize-1], errForeign},
		"empty":           {one, nil, errForeign},
		"garbage":         {one, bytes.Repeat([]byte("x"), 100), errForeign},
		"too large":       {one, make([]byte, maxPacket+1), errOversize},
	} {
		m := &view.Message{}
		if err := x.keys.unpack(x.b, m); !errors.Is(err, x.want) || err == nil && (m.From != "a" || len(m.RosterNames) != 2) {
			t.Errorf("%s: %v, %+v; want %v", name, err, m, x.want)
		}
	}
}

// Whatever comes with a good seal, reading it does no harm.
func FuzzPacket(f *testing.F) {
	b, _ := keys(nil).pack(&view.Message{WireVersion: 1, From: "a", PeerReports: []view.PeerReport{{Name: "b"}}})
	f.Add(b[headSize:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		if len(payload)+headSize > maxPacket {
			return
		}
		m := &view.Message{}
		keys(nil).unpack(append(append([]byte(magic), seal(nil, payload)...), payload...), m)
		view.New(view.Config{Name: "x", Addr: "x:1", ID: 1, Incarnation: 1, MaxSenders: 3, MinShareTotal: 0.1, Lease: 1e9, Interval: 1e8}, 0).HandleMessage(1, m)
	})
}

// Packets of facts have their own seal: one of the view with its magic number changed
// is none. Whatever comes with a good seal does no harm, and what makes no sense
// changes no copy.
func TestFactPackets(t *testing.T) {
	key := keys{[]byte("one key of many letters")}
	own, other := facts.Origin{Name: "a", Incarnation: 1}, facts.Origin{Name: "b", Incarnation: 2}
	good := &replicate.Message{Version: replicate.Version, From: other, SentAt: 1, Deltas: []facts.Delta{{Origin: other, UpTo: 1, ConsistentAt: 1,
		Facts: []facts.Fact{{Seq: 1, Subject: facts.Subject{Kind: facts.RequestedWait, Partner: "acme", Endpoint: "e"}, TTL: time.Second}}}}}
	whole, err := key.packAs(lore, good)
	if err != nil {
		t.Fatal(err)
	}
	if err := key.open(whole, &replicate.Message{}); err != nil {
		t.Fatal(err)
	}
	if err := key.unpack(whole, &view.Message{}); !errors.Is(err, errForeign) {
		t.Errorf("as one of the view: %v", err)
	}
	turned, _ := key.pack(&view.Message{WireVersion: 1, From: "a", ID: 1})
	copy(turned, lore)
	if err := key.open(turned, &replicate.Message{}); !errors.Is(err, errKey) {
		t.Errorf("one of the view, turned: %v", err)
	}
	for i := range 4000 { // flipped behind the seal, as one with the key might send it
		m, b := replicate.New(replicate.Config{Self: own, DigestInterval: time.Second, CatchUpTimeout: time.Second, Rate: 1}, 0), bytes.Clone(whole)
		m.SetPeers([]replicate.Peer{{Name: "b", Addr: "b:1"}})
		bit := headSize*8 + i%(8*(len(b)-headSize))
		b[bit/8] ^= 1 << (bit % 8)
		copy(b[len(lore):headSize], sealAs(lore, key[0], b[headSize:]))
		got := &replicate.Message{}
		if key.open(b, got) == nil {
			m.Receive(2, got)
			for _, s := range m.Replica().List(2, "", 10) {
				if s.Remaining > facts.MaxTTL || s.Partner == "" {
					t.Fatalf("bit %d: %+v", bit, s)
				}
			}
		}
	}
}

// A folder's file that is broken anywhere is no folder: the sender joins as a
// stranger. A file of keys says its line.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	k := kept{Incarnation: 4, Home: "a:1", Senders: []view.Peer{{Name: "b", Addr: "b:1", ID: 3, Incarnation: 2}}}
	if err := k.write(dir); err != nil {
		t.Fatal(err)
	}
	if got, err := readKept(dir); err != nil || got.Incarnation != 4 || got.Home != "a:1" || len(got.Senders) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	path := filepath.Join(dir, keptName)
	text, _ := os.ReadFile(path)
	for i := range len(text) - 1 {
		os.WriteFile(path, text[:i], 0o600)
		if got, err := readKept(dir); err == nil || got.Home != "" || got.Senders != nil {
			t.Fatalf("cut off after %d bytes: %+v, %v", i, got, err)
		}
	}
	for text, want := range map[string]string{"": "no key", "# only this\n": "no key", "a good key of letters\nshort\n": "keys:2: a key has",
		strings.Repeat("a good key of letters\n", 9): "keys:9: over"} {
		path := filepath.Join(dir, "keys")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadKeys(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A sender whose loop has not run for some ticks uses nothing, before anything has
// noticed the pause; one whose copy is behind uses nothing, and after a while its least.
func TestAllowed(t *testing.T) {
	at := now()
	for name, x := range map[string]struct {
		facts       bool
		ran, behind time.Duration // ago; behind: until its least may be used, from now on
		want        float64
	}{
		"well":                   {true, 0, 0, 0.9},
		"paused":                 {true, 4 * time.Second, 0, 0},
		"paused, nothing shared": {false, 4 * time.Second, 0, 0.9},
		"behind":                 {true, 0, time.Minute, 0},
		"behind for longer":      {true, 0, -time.Second, 0.1},
	} {
		c := &Cluster{opts: Options{ShareFacts: x.facts, Interval: time.Second}}
		c.part.Store(&view.Share{Current: 0.9, Until: at + time.Hour, Min: 0.1, StopAt: at + time.Hour})
		c.ran.Store(int64(at - x.ran))
		if x.behind != 0 {
			c.behind.Store(int64(at + x.behind))
		}
		if got := c.AllowedShare(); got != x.want {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
	}
}
