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

// uncalledPartner is a configuration with a partner to which the tests submit no messages.
const uncalledPartner = "[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n"

// await waits until the condition on the views holds and logs the time. After 25 s without it, it
// fails the test with the last log lines of all senders. what describes the condition.
func await(t *testing.T, f *Fleet, what string, holds func([]SenderView) bool) {
	t.Helper()
	if took, ok := f.WaitUntil(25*time.Second, holds); !ok {
		for _, s := range f.Senders() {
			t.Logf("%s: %s", s.Name, strings.Join(s.RecentLog(25), "\n"))
		}
		t.Fatalf("%s: not reached after %v: %+v", what, took, f.Views())
	} else {
		t.Logf("%s: after %v", what, took)
	}
}

// checkNoneGone returns a condition that never holds and fails the test if a sender is reported gone;
// all of them must be running or paused. what names the step of the test.
func checkNoneGone(t *testing.T, what string) func([]SenderView) bool {
	return func(list []SenderView) bool {
		for _, x := range list {
			if x.HeardAfterGone > 0 {
				t.Errorf("%s: %s has reported a running sender as gone", what, x.Name)
			}
			for _, o := range x.Peers {
				if o.State == view.Gone.String() {
					t.Errorf("%s: %s reports %s as gone", what, x.Name, o.Name)
				}
			}
		}
		return false
	}
}

// shareSum adds up the shares of the rate that are reported; 1 if all of the rate is in use.
func shareSum(list []SenderView) (all float64) {
	for _, x := range list {
		all += x.Share
	}
	return all
}

// Lost messages, cuts in one or both directions, and pauses must not make a running sender be
// reported gone. A sender that cannot reach most of the others must fall back to its minimum share,
// and all must recover once the cut heals.
func TestCuts(t *testing.T) {
	f := start(t, Options{Senders: 5, Cluster: `lease = "1s"`, Config: uncalledPartner, Seed: 5})
	await(t, f, "all reachable", AllReachable)
	links := func(faults func(i, k int) Faults) {
		for i := range 5 {
			for k := range 5 {
				if i != k {
					f.SetFaults(i, k, faults(i, k))
				}
			}
		}
	}
	state := func(n int, name string, s view.State) func([]SenderView) bool {
		return func(list []SenderView) bool {
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
		expect func([]SenderView) bool // nil if nothing may change within two leases
	}{
		{"s0 does not reach s1", func(i, k int) Faults { return Faults{Cut: i == 0 && k == 1} }, state(1, "s0", view.Unreachable)},
		{"nobody reaches s0", func(i, k int) Faults { return Faults{Cut: k == 0} }, func(list []SenderView) bool {
			return list[0].CountedSenders == 0 && list[1].CountedSenders == 4
		}},
		{"a ring", func(i, k int) Faults { return Faults{Cut: k != (i+1)%5} },
			func(list []SenderView) bool { return shareSum(list) < 0.11 }},
		{"two pieces", func(i, k int) Faults { return Faults{Cut: (i < 2) != (k < 2)} }, func(list []SenderView) bool {
			return list[0].CountedSenders == 0 && list[1].CountedSenders == 0 && list[2].CountedSenders == 3 && state(2, "s0", view.Suspected)(list)
		}},
		{"30% lost", func(i, k int) Faults { return Faults{Loss: 0.3, Duplicate: 0.1, Reorder: 0.1} }, nil},
		{"200 ms late", func(i, k int) Faults { return Faults{Delay: 200 * time.Millisecond, Jitter: 50 * time.Millisecond} }, nil},
	} {
		links(x.faults)
		if gone := checkNoneGone(t, x.name); x.expect == nil {
			f.WaitUntil(2*time.Second, gone)
		} else {
			await(t, f, x.name, func(list []SenderView) bool { gone(list); return x.expect(list) })
		}
		f.Heal()
		await(t, f, x.name+", healed", AllReachable)
	}
	f.SetFaults(0, 1, Faults{Cut: true}) // the suspecting sender is paused, and the cut heals meanwhile
	await(t, f, "s1 does not hear s0", state(1, "s0", view.Unreachable))
	f.Senders()[1].Pause()
	f.Heal()
	await(t, f, "its guard reports it as paused", AllReport(view.Paused, "s1"))
	f.Senders()[1].Resume()
	await(t, f, "no suspicion is left from before the pause",
		func(list []SenderView) bool { checkNoneGone(t, "s1 resumed")(list[1:2]); return AllReachable(list) })
	f.Senders()[1].Pause() // for less than two leases: the guard does not report it
	f.WaitUntil(1500*time.Millisecond, checkNoneGone(t, "a short pause"))
	f.Senders()[1].Resume()
	await(t, f, "after a short pause", AllReachable)
}

// A fleet that is killed as a whole must find itself again without a join address. Two of five that
// are killed must be reported gone soon, and rejoin without their state folders.
func TestWholeFleet(t *testing.T) {
	seeds := true
	f := start(t, Options{Senders: 5, Cluster: `lease = "1s"`, Config: uncalledPartner,
		Join: func(i int, relays []string) []string {
			switch {
			case !seeds:
				return nil
			case i == 0: // no process listens there
				wrong := make([]string, 20)
				for k := range wrong {
					wrong[k] = fmt.Sprintf("127.0.0.1:%d", 1+k)
				}
				return wrong
			}
			return relays[:1]
		}})
	await(t, f, "all reachable, with twenty wrong addresses", AllReachable)
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
	await(t, f, "all reachable, with no address", AllReachable)
	for _, s := range f.Senders()[:2] {
		s.Kill()
	}
	if took, ok := f.WaitUntil(5*time.Second, AllReport(view.Gone, "s0", "s1")); !ok {
		t.Errorf("two of five killed: not reported by all after %v: %+v", took, f.Views())
	}
	await(t, f, "their shares taken over", func(list []SenderView) bool { return shareSum(list) > 0.9 })
	seeds = true
	for _, s := range f.Senders()[:2] {
		if err := s.Restart(true); err != nil {
			t.Fatal(err)
		}
	}
	await(t, f, "restarted with empty folders", AllReachable)
	if err := f.Senders()[4].RestartOld(); err != nil { // the incarnation in the copy has been used since
		t.Fatal(err)
	}
	await(t, f, "restarted with an old folder", AllReachable)
}

// Datagrams that are not valid packets must change nothing: garbage, and packets that are
// truncated, too large, sealed with a wrong key or replayed. Keys can change while all senders run.
// A second process with the same name must be refused, and both processes must log it.
func TestForeignPackets(t *testing.T) {
	p, err := partner.Start(partner.Options{Name: "acme", Rate: 200})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	keys := filepath.Join(t.TempDir(), "keys")
	const a, b = "the first key, of many letters", "the second key, of many letters"
	writeFile(t, keys, a+"\n")
	f := start(t, Options{Senders: 4, StartLater: 1, MaxSenders: 3,
		Cluster: fmt.Sprintf("lease = \"1s\"\nkey_file = %q", keys), Config: PartnerConfig(p),
		Name: func(i int) string { return fmt.Sprint("s", i%3) }, Join: func(i int, relays []string) []string { return relays[:3] }})
	threeReachable := func(list []SenderView) bool { return AllReachable(list[:3]) }
	await(t, f, "three reachable", threeReachable)
	first, duplicate := f.Senders()[0], f.Senders()[3]
	if err := duplicate.Restart(false); err != nil {
		t.Fatal(err)
	}
	await(t, f, "the second process with the name is refused",
		func(list []SenderView) bool { return list[3].State == "refused" && list[3].Share == 0 })
	for _, s := range []*Sender{first, duplicate} {
		if err := s.WaitForLog("another process uses this name"); err != nil {
			t.Error(err)
		}
	}
	await(t, f, "three reachable, one refused", threeReachable)
	duplicate.Kill()

	to, _ := net.ResolveUDPAddr("udp", f.Senders()[1].Addr)
	out, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	before := residentMemory(t, f.Senders()[1].PID())
	packet, factsPacket := append([]byte("cmtk1"), make([]byte, 16+400)...),
		append([]byte("cmtf1"), make([]byte, 16+400)...)
	for i := range 20_000 {
		switch i % 5 {
		case 4: // facts without a key
			out.Write(factsPacket)
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
	if err := f.Senders()[1].WaitForLog("packets dropped"); err != nil {
		t.Error(err)
	}
	if after := residentMemory(t, f.Senders()[1].PID()); after > before+32<<10 {
		t.Errorf("%d KB before 20,000 foreign packets, %d KB after", before, after)
	}
	await(t, f, "unchanged by foreign packets", threeReachable)
	for _, text := range []string{a + "\n" + b, b + "\n" + a, b} { // the key file is read again within a second
		writeFile(t, keys, text+"\n")
		for _, s := range f.Senders()[:3] {
			if err := s.WaitForLog("keys reloaded"); err != nil {
				t.Error(err)
			}
		}
	}
	await(t, f, "with new keys", func(list []SenderView) bool {
		checkNoneGone(t, "new keys")(list[:3])
		return threeReachable(list)
	})
}

// residentMemory returns the resident memory of a process, in KB.
func residentMemory(t *testing.T, pid int) int {
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
