// Package kill feeds both ports of the real program from many clients, kills it
// again and again, and judges by the partners' own records what became of each
// message.
package kill

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/program"
	"cometrack/internal/standin/traffic"
)

const (
	clients           = 40
	trafficAfterStart = 700 * time.Millisecond // traffic goes on so long after the last start
	retryInterval     = 20 * time.Millisecond  // between two tries while nobody answers
	maxRetries        = 250
	minAccepted       = 40 // fewer messages taken on than this prove nothing
)

// Round is one daemon's history.
type Round struct {
	Program  string
	Partners []partner.Options
	Uptimes  []time.Duration // each ended by SIGKILL; one more follows, ended by SIGTERM
	Seed     uint64
}

// Draw makes a round with so many kills: two to four partners with rates, told
// waits and outages. The same seed gives the same round.
func Draw(path string, seed uint64, kills int) Round {
	rng := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	r := Round{Program: path, Seed: seed}
	for i := range 2 + rng.IntN(3) {
		o := partner.Options{Name: fmt.Sprint("p", i), Rate: 5 + rng.IntN(76), Latency: between(0, 60)}
		if rng.IntN(2) == 0 {
			o.RequestedWait = between(150, 700)
		}
		if rng.IntN(2) == 0 {
			ill := partner.Overloaded + partner.Mode(rng.IntN(int(partner.Failing-partner.Overloaded)+1))
			o.Phases = []partner.Phase{{Mode: partner.Healthy, Duration: between(200, 900)}, {Mode: ill, Duration: between(100, 500)}}
		}
		r.Partners = append(r.Partners, o)
	}
	for range kills {
		r.Uptimes = append(r.Uptimes, between(50, 900))
	}
	return r
}

// Report is what came of a round.
type Report struct {
	Accepted   int            // messages
	Ends       map[string]int // by state
	Violations []string       // what must not be
}

// submissions is the messages that the clients have handed in.
type submissions struct {
	mu       sync.Mutex
	accepted map[string]string // partner, by id
}

// Play plays the round. An error is one of the rig itself, or a daemon that does
// not start or stop.
func (r Round) Play() (Report, error) {
	dir, err := os.MkdirTemp("", "kill")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	var partners []*partner.Partner
	for _, o := range r.Partners {
		p, err := partner.Start(o)
		if err != nil {
			return Report{}, err
		}
		defer p.Close()
		partners = append(partners, p)
	}
	ends, config := filepath.Join(dir, "ends.jsonl"), filepath.Join(dir, "config.toml")
	text, err := traffic.FixPorts(traffic.ConfigText(filepath.Join(dir, "state"), fmt.Sprintf("[sink.file]\npath = %q\n", ends), partners...))
	if err != nil {
		return Report{}, err
	}
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return Report{}, err
	}
	start := func() (*program.Program, error) { return program.Start(r.Program, nil, "serve", "--config", config) }
	x, err := start()
	if err != nil {
		return Report{}, err
	}
	defer func() { x.Cmd.Process.Kill() }()
	f, stop := &submissions{accepted: map[string]string{}}, make(chan struct{})
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() { f.client(k, r.Seed, partners, x.Addrs, stop) })
	}
	var deaths []time.Time
	for _, life := range r.Uptimes {
		time.Sleep(life)
		deaths = append(deaths, time.Now())
		x.Signal(syscall.SIGKILL)
		x.Wait()
		if x, err = start(); err != nil {
			close(stop)
			return Report{}, err
		}
	}
	time.Sleep(trafficAfterStart)
	close(stop)
	wg.Wait()
	out := Report{Accepted: len(f.accepted), Ends: map[string]int{}}
	final := map[string]string{}
	for id := range f.accepted {
		s, err := traffic.State(x.Addrs[0], id, "20s")
		if final[id] = s; err != nil || s != "delivered" && s != "returned" && s != "failed" {
			out.addViolation("%s is %q at the end: %v", id, s, err)
		}
		out.Ends[s]++
	}
	x.Signal(syscall.SIGTERM)
	if err := x.Wait(); err != nil {
		out.addViolation("the daemon ended with %v", err)
	}
	out.judge(f.accepted, final, partners, deaths)
	return out, out.ends(ends, final)
}

func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// client hands messages in until stop, over one port and the other. One without an
// answer is handed in again: the same id is the same message.
func (f *submissions) client(k int, seed uint64, partners []*partner.Partner, addrs []string, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(k)+1))
	c := &http.Client{Transport: &http.Transport{}, Timeout: program.Timeout}
	defer c.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(120)) * time.Millisecond):
		}
		class := []string{"safe", "keyed", "unsafe"}[rng.IntN(3)]
		id := fmt.Sprintf("%s-%d-%d", class, k, n)
		to := partners[rng.IntN(len(partners))].Name()
		for again := range maxRetries {
			ok, heard := traffic.Put(c, (k+again)%2 == 0, addrs[0], addrs[1], id, to, class)
			if ok {
				f.mu.Lock()
				f.accepted[id] = to
				f.mu.Unlock()
			}
			if heard {
				break
			}
			time.Sleep(retryInterval) // the daemon is on its way back
		}
	}
}

// judge holds the final states against what the partners have seen.
func (r *Report) judge(taken, final map[string]string, partners []*partner.Partner, deaths []time.Time) {
	ran := map[string]int{}
	for _, p := range partners {
		for _, f := range p.Violations(func(id string) bool { return strings.HasPrefix(id, "unsafe") }, deaths...) {
			r.addViolation("%s", f)
		}
		for _, c := range p.Calls() {
			if to, ok := taken[c.ID]; ok && to != p.Name() {
				r.addViolation("%s for %s came to %s", c.ID, to, p.Name())
			}
			if c.Ran {
				ran[c.ID]++
			}
		}
	}
	for id, state := range final {
		switch {
		case state == "delivered" && ran[id] == 0:
			r.addViolation("%s is delivered and never ran", id)
		case state == "returned" && ran[id] > 0:
			r.addViolation("%s is returned and ran", id)
		}
	}
	if len(taken) < minAccepted {
		r.addViolation("only %d messages were taken on", len(taken))
	}
}

// ends holds the final states against the file of ends: one end each, though it may
// be told again after a kill.
func (r *Report) ends(path string, final map[string]string) error {
	lines, err := traffic.ReadEnds(path)
	if err != nil {
		return err
	}
	told := map[string]string{}
	for _, l := range lines {
		if before, twice := told[l.ID]; twice && before != l.State {
			r.addViolation("%s was told as %s and as %s", l.ID, before, l.State)
		}
		told[l.ID] = l.State
	}
	for id, state := range final {
		if told[id] != state {
			r.addViolation("%s is %s, and was told as %q", id, state, told[id])
		}
	}
	return nil
}
