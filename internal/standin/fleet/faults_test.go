package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cometrack/internal/standin/partner"
	"cometrack/internal/view"
)

// small is a configuration with a partner that is never called.
const small = "[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n"

// await fails the test unless the views come to be as wanted.
func await(t *testing.T, f *Fleet, what string, holds func([]Seen) bool) {
	t.Helper()
	if took, ok := f.Until(25*time.Second, holds); !ok {
		for _, s := range f.Senders() {
			t.Logf("%s: %s", s.Name, strings.Join(s.Last(25), "\n"))
		}
		t.Fatalf("%s: not after %v: %+v", what, took, f.Sees())
	} else {
		t.Logf("%s: after %v", what, took)
	}
}

// noneGone fails the test if a sender is taken for gone, or for paused, or the parts
// add up to more than one rate.
func noneGone(t *testing.T, what string) func([]Seen) bool {
	return func(list []Seen) bool {
		for _, x := range list {
			if x.HeardAfterGone > 0 {
				t.Errorf("%s: %s has taken a living sender for gone", what, x.Name)
			}
			for _, o := range x.Peers {
				if o.State == view.Gone.String() {
					t.Errorf("%s: %s takes %s for gone", what, x.Name, o.Name)
				}
			}
		}
		return false
	}
}

// sum of the parts, as far as they are told.
func sum(list []Seen) (all float64) {
	for _, x := range list {
		all += x.Share
	}
	return all
}

// No living sender is taken for gone by lost messages, cuts in one direction or
// both, or pauses; who can't reach most of the others goes back to its least part;
// and all is well again once the cut heals.
func TestCuts(t *testing.T) {
	f := start(t, Options{Senders: 5, Cluster: `lease = "1s"`, Config: small, Seed: 5})
	await(t, f, "all here", AllHere)
	links := func(faults func(i, k int) Faults) {
		for i := range 5 {
			for k := range 5 {
				if i != k {
					f.Fault(i, k, faults(i, k))
				}
			}
		}
	}
	state := func(n int, name string, s view.State) func([]Seen) bool {
		return func(list []Seen) bool {
			for _, o := range list[n].Peers {
				if o.Name == name {
					return o.State == s.String()
				}
			}
			return false
		}
	}
	for _, x := range []struct {
		name   string
		faults func(i, k int) Faults
		comes  func([]Seen) bool // nil for nothing within two leases
	}{
		{"s0 does not reach s1", func(i, k int) Faults { return Faults{Cut: i == 0 && k == 1} }, state(1, "s0", view.Unreachable)},
		{"nobody reaches s0", func(i, k int) Faults { return Faults{Cut: k == 0} }, func(list []Seen) bool {
			return list[0].CountedSenders == 0 && list[1].CountedSenders == 4
		}},
		{"a ring", func(i, k int) Faults { return Faults{Cut: k != (i+1)%5} }, func(list []Seen) bool { return sum(list) < 0.11 }},
		{"two pieces", func(i, k int) Faults { return Faults{Cut: (i < 2) != (k < 2)} }, func(list []Seen) bool {
			return list[0].CountedSenders == 0 && list[1].CountedSenders == 0 && list[2].CountedSenders == 3 && state(2, "s0", view.Suspected)(list)
		}},
		{"30% lost", func(i, k int) Faults { return Faults{Loss: 0.3, Double: 0.1, Reorder: 0.1} }, nil},
		{"200 ms late", func(i, k int) Faults { return Faults{Delay: 200 * time.Millisecond, Jitter: 50 * time.Millisecond} }, nil},
	} {
		links(x.faults)
		if gone := noneGone(t, x.name); x.comes == nil {
			f.Until(2*time.Second, gone)
		} else {
			await(t, f, x.name, func(list []Seen) bool { gone(list); return x.comes(list) })
		}
		f.Heal()
		await(t, f, x.name+", healed", AllHere)
	}
	f.Fault(0, 1, Faults{Cut: true}) // the one that suspects is paused, and the cut heals meanwhile
	await(t, f, "s1 does not hear s0", state(1, "s0", view.Unreachable))
	f.Senders()[1].Pause()
	f.Heal()
	await(t, f, "its guard says that it is paused", Believes(view.Paused, "s1"))
	f.Senders()[1].Resume()
	await(t, f, "it holds no suspicion from before its pause", func(list []Seen) bool { noneGone(t, "s1 awake")(list[1:2]); return AllHere(list) })
	f.Senders()[1].Pause() // for less than two leases: its guard says nothing
	f.Until(1500*time.Millisecond, noneGone(t, "a short pause"))
	f.Senders()[1].Resume()
	await(t, f, "after a short pause", AllHere)
}

// A whole fleet that is killed finds itself without one address to join; two fifths
// that are killed are known soon, and come back without their folders.
func TestWholeFleet(t *testing.T) {
	seeds := true
	f := start(t, Options{Senders: 5, Cluster: `lease = "1s"`, Config: small, Join: func(i int, relays []string) []string {
		switch {
		case !seeds:
			return nil
		case i == 0: // nobody is there
			wrong := make([]string, 20)
			for k := range wrong {
				wrong[k] = fmt.Sprintf("127.0.0.1:%d", 1+k)
			}
			return wrong
		}
		return relays[:1]
	}})
	await(t, f, "all here, with twenty wrong addresses", AllHere)
	if err := f.Senders()[4].Copy(); err != nil {
		t.Fatal(err)
	}
	seeds = false
	for _, s := range f.Senders() {
		s.Kill()
	}
	again := make(chan error)
	for _, s := range f.Senders() {
		go func() { again <- s.Restart(false) }()
	}
	for range f.Senders() {
		if err := <-again; err != nil {
			t.Fatal(err)
		}
	}
	await(t, f, "all here, with no address", AllHere)
	for _, s := range f.Senders()[:2] {
		s.Kill()
	}
	if took, ok := f.Until(5*time.Second, Believes(view.Gone, "s0", "s1")); !ok {
		t.Errorf("two of five killed: not known by all after %v: %+v", took, f.Sees())
	}
	await(t, f, "their parts taken over", func(list []Seen) bool { return sum(list) > 0.9 })
	seeds = true
	for _, s := range f.Senders()[:2] {
		if err := s.Restart(true); err != nil {
			t.Fatal(err)
		}
	}
	await(t, f, "back with emptied folders", AllHere)
	if err := f.Senders()[4].RestartOld(); err != nil { // its incarnation there has been used since
		t.Fatal(err)
	}
	await(t, f, "back with an old folder", AllHere)
}

// What is no packet of a sender changes nothing: garbage, packets cut off, of too
// many bytes, with a wrong key, or sent again. Keys change while all run. A second
// process with a name is refused and says so, as does the first.
func TestStrangers(t *testing.T) {
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	keys := filepath.Join(t.TempDir(), "keys")
	const a, b = "the first key, of many letters", "the second key, of many letters"
	writeFile(t, keys, a+"\n")
	f := start(t, Options{Senders: 4, Late: 1, Seats: 3, Cluster: fmt.Sprintf("lease = \"1s\"\nkey_file = %q", keys), Config: Partners(p),
		Name: func(i int) string { return fmt.Sprint("s", i%3) }, Join: func(i int, relays []string) []string { return relays[:3] }})
	three := func(list []Seen) bool { return AllHere(list[:3]) }
	await(t, f, "three here", three)
	first, double := f.Senders()[0], f.Senders()[3]
	if err := double.Restart(false); err != nil {
		t.Fatal(err)
	}
	await(t, f, "the second with a name is refused", func(list []Seen) bool { return list[3].State == "refused" && list[3].Share == 0 })
	for _, s := range []*Sender{first, double} {
		if err := s.Says("another process uses this name"); err != nil {
			t.Error(err)
		}
	}
	await(t, f, "three here, one refused", three)
	double.Kill()

	to, _ := net.ResolveUDPAddr("udp", f.Senders()[1].Addr)
	out, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	before := memory(t, f.Senders()[1].PID())
	packet, lore := append([]byte("cmtk1"), make([]byte, 16+400)...), append([]byte("cmtf1"), make([]byte, 16+400)...)
	for i := range 20_000 {
		switch i % 5 {
		case 4: // what is known of partners, without a key
			out.Write(lore)
		case 0:
			out.Write([]byte("garbage"))
		case 1:
			out.Write(packet)
		case 2:
			out.Write(packet[:21])
		case 3:
			out.Write(make([]byte, 61_000))
		}
	}
	if err := f.Senders()[1].Says("packets dropped"); err != nil {
		t.Error(err)
	}
	if after := memory(t, f.Senders()[1].PID()); after > before+32<<10 {
		t.Errorf("%d KB before 20,000 strange packets, %d KB after", before, after)
	}
	await(t, f, "as if nothing had come", three)
	for _, text := range []string{a + "\n" + b, b + "\n" + a, b} { // each is read within a second
		writeFile(t, keys, text+"\n")
		for _, s := range f.Senders()[:3] {
			if err := s.Says("new keys"); err != nil {
				t.Error(err)
			}
		}
	}
	await(t, f, "with new keys", func(list []Seen) bool { noneGone(t, "new keys")(list[:3]); return three(list) })
}

// memory is what a process holds, in KB.
func memory(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
