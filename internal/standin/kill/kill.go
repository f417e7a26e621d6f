// Package kill submits messages to both fronts of the real program from many clients, kills the program
// repeatedly, and checks with the partners' records how each message ended.
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

// Traffic of a round.
const (
	clients           = 40                     // clients that submit concurrently
	trafficAfterStart = 700 * time.Millisecond // traffic continues for this long after the last start
	retryInterval     = 20 * time.Millisecond  // between two tries without a response
	maxRetries        = 250                    // tries to submit a message before a client gives it up
	minAccepted       = 40                     // with fewer accepted messages a round counts as a violation
)

// Round is one run of a daemon with several kills.
type Round struct {
	Program  string            // path
	Partners []partner.Options // one for each partner
	Uptimes  []time.Duration   // uptimes before each SIGKILL; one more start follows, stopped by SIGTERM
	Seed     uint64            // of the clients' messages
}

// Draw returns a random round for the program at path with the given number of kills: two to four partners
// with rates, requested waits and outages. The same seed gives the same round.
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
			fault := partner.Overloaded + partner.Mode(rng.IntN(int(partner.Failing-partner.Overloaded)+1))
			o.Phases = []partner.Phase{{Mode: partner.Healthy, Duration: between(200, 900)},
				{Mode: fault, Duration: between(100, 500)}}
		}
		r.Partners = append(r.Partners, o)
	}
	for range kills {
		r.Uptimes = append(r.Uptimes, between(50, 900))
	}
	return r
}

// Report is the result of a round.
type Report struct {
	Accepted   int            // number of accepted messages
	Ends       map[string]int // number of messages by final state
	Violations []string       // broken rules; empty if there are none
}

// submissions are the messages that the clients have submitted.
type submissions struct {
	mu       sync.Mutex        // guards accepted while the clients run
	accepted map[string]string // name of the partner, by message id
}

// Play executes the round. An error means a failure of the harness, a daemon that does not start, or a file
// of ends that cannot be read. A daemon that does not stop regularly at the end is a violation.
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
	submitted, stop := &submissions{accepted: map[string]string{}}, make(chan struct{})
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() { submitted.client(k, r.Seed, partners, x.Addrs, stop) })
	}
	var kills []time.Time
	for _, uptime := range r.Uptimes {
		time.Sleep(uptime)
		kills = append(kills, time.Now())
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
	out := Report{Accepted: len(submitted.accepted), Ends: map[string]int{}}
	final := map[string]string{}
	for id := range submitted.accepted {
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
	out.judge(submitted.accepted, final, partners, kills)
	return out, out.ends(ends, final)
}

// addViolation adds a broken rule to the report.
func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// client submits messages until stop is closed, over HTTP and over RESP in turn. A message without a response
// is submitted again: the same id is the same message. k is the number of the client; addrs are the addresses
// of the fronts, HTTP first.
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
		for try := range maxRetries {
			ok, answered := traffic.Put(c, (k+try)%2 == 0, addrs[0], addrs[1], id, to, class)
			if ok {
				f.mu.Lock()
				f.accepted[id] = to
				f.mu.Unlock()
			}
			if answered {
				break
			}
			time.Sleep(retryInterval) // the daemon is restarting
		}
	}
}

// judge compares the final states with the calls that the partners received, and adds the violations.
// accepted holds the name of the partner and final the state, by message id; kills are the times of the
// kills.
func (r *Report) judge(accepted, final map[string]string, partners []*partner.Partner, kills []time.Time) {
	ran := map[string]int{}
	for _, p := range partners {
		for _, f := range p.Violations(func(id string) bool { return strings.HasPrefix(id, "unsafe") }, kills...) {
			r.addViolation("%s", f)
		}
		for _, c := range p.Calls() {
			if to, ok := accepted[c.ID]; ok && to != p.Name() {
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
	if len(accepted) < minAccepted {
		r.addViolation("only %d messages were accepted", len(accepted))
	}
}

// ends compares the final states, by message id, with the file of ends at path, and adds the violations: each
// message has one end, which may be written again after a kill. An error means that the file cannot be read.
func (r *Report) ends(path string, final map[string]string) error {
	lines, err := traffic.ReadEnds(path)
	if err != nil {
		return err
	}
	written := map[string]string{}
	for _, l := range lines {
		if before, twice := written[l.ID]; twice && before != l.State {
			r.addViolation("%s was written as %s and as %s", l.ID, before, l.State)
		}
		written[l.ID] = l.State
	}
	for id, state := range final {
		if written[id] != state {
			r.addViolation("%s is %s, and was written as %q", id, state, written[id])
		}
	}
	return nil
}
