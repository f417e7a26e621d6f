package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/facts"
)

// Addresses, placement and sampling of a fleet.
const (
	clusterPort = 7946     // of all senders, each at a loopback address of its own
	version     = "hollow" // reported by all senders
	// Zones and Racks are the placement of a fleet: sender i is in zone i%Zones and rack
	// i%Racks, so a rack holds a tenth of the senders, and a zone a fifth, in two racks.
	Zones = 5
	Racks = 10
	// FirstRegion is the number of zones in the first region; the second has the others.
	FirstRegion    = 3
	sampleInterval = 20 * time.Millisecond // between two samples of all shares
)

// Options describe a fleet.
type Options struct {
	Senders  int           // number of senders
	Lease    time.Duration // as in the configuration of a sender
	Drift    float64       // clocks run at 1-Drift to 1+Drift of the true rate
	Dir      string        // parent of the state folders; empty for the default temporary folder
	FactRate float64       // requested waits published per second, over the whole fleet; 0 for none
	Seed     uint64        // of the clocks and the published waits, and of the virtual run
	// ClockRate returns the clock rate of sender i, with 1 for the true rate. If it is nil or
	// returns 0, the rate is random within Drift.
	ClockRate func(i int) float64
}

// fleet is a set of senders that run in this process over sockets.
type fleet struct {
	opts        Options
	addressLock net.Listener // reserves the address range of the fleet
	dir         string       // parent of the state folders; close removes it
	network     *network
	senders     []*sender
	created     time.Time
	stop        context.CancelFunc // stops the publishers; nil until the fleet is complete
	publishers  sync.WaitGroup     // of the goroutine that publishes waits
}

// sender is one sender of a fleet; it keeps its options while it is not running.
type sender struct {
	opts             cluster.Options
	mu               sync.Mutex         // guards the fields below
	instance         *cluster.Cluster   // nil while the sender is not running
	stopObservations context.CancelFunc // ends the goroutine that discards the observations of peers
}

// newFleet creates a fleet whose senders are not running yet.
func newFleet(opts Options) (*fleet, error) {
	if opts.Senders < 1 || opts.Senders > Zones*sendersPerOctet {
		return nil, fmt.Errorf("hollow: %d senders; 1 to %d", opts.Senders, Zones*sendersPerOctet)
	}
	f := &fleet{opts: opts, created: time.Now()}
	base := ""
	for x := 16; x < 250 && f.addressLock == nil; x++ { // the first free second octet of 127/8, as in package fleet
		base = fmt.Sprintf("127.%d", x)
		f.addressLock, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", base, clusterPort))
	}
	if f.addressLock == nil {
		return nil, errors.New("hollow: no loopback addresses are free")
	}
	f.network = newNetwork(base, opts.Senders)
	var err error
	if f.dir, err = os.MkdirTemp(opts.Dir, "hollow"); err != nil {
		f.addressLock.Close()
		return nil, fmt.Errorf("hollow: %w", err)
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 1))
	for i := range opts.Senders {
		s := &sender{}
		if s.opts, err = f.senderOptions(i, rng); err != nil {
			f.close()
			return nil, fmt.Errorf("hollow: %w", err)
		}
		f.senders = append(f.senders, s)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	if opts.FactRate > 0 {
		f.publishers.Go(func() { f.publishWaits(ctx) })
	}
	return f, nil
}

// senderName returns the name of sender i.
func senderName(i int) string { return fmt.Sprintf("s%03d", i) }

// senderOptions returns the options of sender i, from a configuration that is checked like that of
// a real sender.
func (f *fleet) senderOptions(i int, rng *rand.Rand) (cluster.Options, error) {
	dir := filepath.Join(f.dir, senderName(i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return cluster.Options{}, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nstate = %q\nsenders = %d\nzone = %q\nzones = [\"z0\", \"z1\", \"z2\", \"z3\", \"z4\"]\n", senderName(i), dir, f.opts.Senders, fmt.Sprint("z", i%Zones))
	fmt.Fprintf(&b, "[front.resp]\nlisten = \"127.0.0.1:6379\"\n[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n")
	fmt.Fprintf(&b, "[cluster]\nlisten = %q\nlease = %q\ndrift = %v\nguard = false\njoin = [", f.network.addr(i),
		f.opts.Lease, f.opts.Drift)
	for k := range f.opts.Senders {
		if k != i {
			fmt.Fprintf(&b, "%q, ", f.network.addr(k))
		}
	}
	b.WriteString("]\n")
	file, err := config.Parse(senderName(i), []byte(b.String()))
	if err != nil {
		return cluster.Options{}, err
	}
	c := file.Cluster
	rate, offset := 1+f.opts.Drift*(2*rng.Float64()-1), time.Duration(rng.Int64N(int64(time.Hour)))
	if f.opts.ClockRate != nil {
		if p := f.opts.ClockRate(i); p > 0 {
			rate = p
		}
	}
	return cluster.Options{Name: file.Name, Zone: file.Zone, Version: version, Listen: c.Listen, Advertise: c.Advertise, Join: c.Join, MaxSenders: file.Senders,
		MinShareTotal: c.Least, Lease: time.Duration(c.Lease), Interval: time.Duration(c.Lease) / config.HeartbeatsPerLease, MaxClockDrift: c.Drift, Dir: dir, ShareFacts: *c.Facts,
		Log: slog.New(slog.DiscardHandler), Hooks: f.network.hooks(i, newClock(rate, offset))}, nil
}

// newClock returns a clock that starts at offset and advances at rate, with 1 for the true rate. If the
// whole process is paused, the clock has advanced afterwards.
func newClock(rate float64, offset time.Duration) func() time.Duration {
	from := time.Now()
	return func() time.Duration { return offset + time.Duration(float64(time.Since(from))*rate) }
}

// publishWaits publishes requested waits at the fact rate, each from a random running sender.
func (f *fleet) publishWaits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.opts.Seed, 2))
	t := time.NewTicker(max(time.Duration(float64(time.Second)/f.opts.FactRate), time.Millisecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s := f.senders[rng.IntN(len(f.senders))]
		s.mu.Lock()
		if s.instance != nil {
			s.instance.PublishWait(fmt.Sprintf("partner-%d", n), "192.0.2.1:443", facts.MaxTTL)
		}
		s.mu.Unlock()
	}
}

// close stops all senders and removes their state folders.
func (f *fleet) close() {
	if f.stop != nil {
		f.stop()
	}
	f.publishers.Wait()
	all := make([]int, len(f.senders))
	for i := range all {
		all[i] = i
	}
	f.kill(all)
	os.RemoveAll(f.dir)
	f.addressLock.Close()
}

// size returns the number of senders, whether they are running or not.
func (f *fleet) size() int { return len(f.senders) }

// now returns the time since the fleet was created.
func (f *fleet) now() time.Duration { return time.Since(f.created) }

// run lets d pass in real time and calls look every sampleInterval.
func (f *fleet) run(d time.Duration, look func()) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-t.C
		look()
	}
}

// start starts the senders with the given indexes, which must not be running, from their state folders.
func (f *fleet) start(list []int) error {
	for _, i := range list {
		s := f.senders[i]
		c, err := cluster.Open(s.opts)
		if err != nil {
			return fmt.Errorf("hollow: %s: %w", senderName(i), err)
		}
		ctx, stopObservations := context.WithCancel(context.Background())
		go c.WatchObservations(ctx, func([]facts.Observation) {})
		s.mu.Lock()
		s.instance, s.stopObservations = c, stopObservations
		s.mu.Unlock()
	}
	return nil
}

// kill stops the senders with the given indexes at once; their addresses then refuse connections. Those
// that are not running are left out.
func (f *fleet) kill(list []int) {
	var all sync.WaitGroup
	for _, i := range list {
		s := f.senders[i]
		s.mu.Lock()
		c, stopObservations := s.instance, s.stopObservations
		s.instance = nil
		s.mu.Unlock()
		if c != nil {
			stopObservations()
			all.Go(c.Close)
		}
	}
	all.Wait()
}

// cut cuts or restores the link from one sender to another.
func (f *fleet) cut(from, to int, cut bool) { f.network.cut(from, to, cut) }

// shares stores the share of each rate that each sender may use now; -1 for one that is not
// running. Sampling many senders takes a moment, in which a share may move from one sender to
// another and be counted twice. If the first sample exceeds one rate, the lowest of three
// consecutive samples counts.
func (f *fleet) shares(out []float64) {
	if f.sampleShares(out) <= maxSum {
		return
	}
	again := make([]float64, len(out))
	for range 2 {
		if f.sampleShares(again) < sumShares(out) {
			copy(out, again)
		}
	}
}

// sampleShares stores the shares of all senders, -1 for one that is not running, and returns the sum of
// the others.
func (f *fleet) sampleShares(out []float64) (sum float64) {
	for i, s := range f.senders {
		s.mu.Lock()
		c := s.instance
		s.mu.Unlock()
		out[i] = -1
		if c != nil {
			out[i] = c.AllowedShare()
			sum += out[i]
		}
	}
	return sum
}

// counts stores the traffic of each sender since its first start.
func (f *fleet) counts(out []Count) {
	for i := range f.network.counts {
		out[i] = f.network.counts[i].get()
	}
}

// viewSummary summarizes the views of all senders at the end of a run.
type viewSummary struct {
	agree        bool           // each running sender considers the running ones reachable and the others not
	falselyGone  int            // incarnations that were considered gone and heard again
	dropped      map[string]int // packets dropped by the senders, by reason
	unresponsive int            // senders whose loop did not respond
}

// summarizeViews asks each running sender for its view and its dropped packets.
func (f *fleet) summarizeViews() (b viewSummary) {
	b.agree, b.dropped = true, map[string]int{}
	running := map[string]bool{}
	for i, s := range f.senders {
		running[senderName(i)] = s.instance != nil
	}
	for _, s := range f.senders {
		if s.instance == nil {
			continue
		}
		for why, n := range s.instance.Dropped() {
			b.dropped[why] += n
		}
		status, err := s.instance.Status()
		if err != nil {
			b.unresponsive++
			b.agree = false
			continue
		}
		b.falselyGone += status.HeardAfterGone
		b.agree = b.agree && len(status.Peers) == len(f.senders)-1
		for _, o := range status.Peers {
			b.agree = b.agree && (o.State == "here") == running[o.Name]
		}
	}
	return b
}
