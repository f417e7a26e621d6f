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

const (
	clusterPort = 7946
	version     = "hollow" // that a sender says it is of
	// Zones and Racks are what a fleet is spread over: sender i is in zone i%Zones and
	// rack i%Racks, so that a rack is a tenth, a zone a fifth and holds two racks.
	Zones = 5
	Racks = 10
	// FirstRegion is how many zones the first region has; the second has the others.
	FirstRegion = 3
	lookEvery   = 20 * time.Millisecond // between two looks at all parts
)

// Options say what a fleet is made of.
type Options struct {
	Senders int
	Lease   time.Duration
	Drift   float64 // clocks run at 1-Drift to 1+Drift of the true pace
	Dir     string  // for the senders' folders; empty for one of its own beneath the usual place
	Facts   float64 // waits that are told in a second, over the fleet
	Seed    uint64
	// Pace sets how fast the clock of a sender runs; nil, or 0 from it, for any within
	// Drift.
	Pace func(i int) float64
}

// fleet is hollow senders.
type fleet struct {
	opts    Options
	lock    net.Listener // keeps the addresses to itself
	dir     string
	wire    *wire
	senders []*sender
	began   time.Time
	stop    context.CancelFunc
	told    sync.WaitGroup
}

// sender is one of them, or its place.
type sender struct {
	opts cluster.Options
	mu   sync.Mutex
	life *cluster.Cluster // nil while it does not run
	deaf context.CancelFunc
}

// newFleet makes a fleet of which none runs yet.
func newFleet(opts Options) (*fleet, error) {
	if opts.Senders < 1 || opts.Senders > Zones*perOctet {
		return nil, fmt.Errorf("hollow: %d senders; 1 to %d", opts.Senders, Zones*perOctet)
	}
	f := &fleet{opts: opts, began: time.Now()}
	base := ""
	for x := 16; x < 250 && f.lock == nil; x++ { // a second loopback octet of its own, as package fleet has it
		base = fmt.Sprintf("127.%d", x)
		f.lock, _ = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", base, clusterPort))
	}
	if f.lock == nil {
		return nil, errors.New("hollow: no loopback addresses are free")
	}
	f.wire = newWire(base, opts.Senders)
	var err error
	if f.dir, err = os.MkdirTemp(opts.Dir, "hollow"); err != nil {
		f.lock.Close()
		return nil, fmt.Errorf("hollow: %w", err)
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 1))
	for i := range opts.Senders {
		s := &sender{}
		if s.opts, err = f.options(i, rng); err != nil {
			f.close()
			return nil, fmt.Errorf("hollow: %w", err)
		}
		f.senders = append(f.senders, s)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	if opts.Facts > 0 {
		f.told.Go(func() { f.tell(ctx) })
	}
	return f, nil
}

// name is a sender's.
func name(i int) string { return fmt.Sprintf("s%03d", i) }

// options are those of a sender, from a file that was checked as a real one's.
func (f *fleet) options(i int, rng *rand.Rand) (cluster.Options, error) {
	dir := filepath.Join(f.dir, name(i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return cluster.Options{}, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nstate = %q\nsenders = %d\nzone = %q\nzones = [\"z0\", \"z1\", \"z2\", \"z3\", \"z4\"]\n", name(i), dir, f.opts.Senders, fmt.Sprint("z", i%Zones))
	fmt.Fprintf(&b, "[front.resp]\nlisten = \"127.0.0.1:6379\"\n[[partner]]\nname = \"acme\"\nendpoints = [\"127.0.0.1:9\"]\nrate = 100\n")
	fmt.Fprintf(&b, "[cluster]\nlisten = %q\nlease = %q\ndrift = %v\nguard = false\njoin = [", f.wire.addr(i), f.opts.Lease, f.opts.Drift)
	for k := range f.opts.Senders {
		if k != i {
			fmt.Fprintf(&b, "%q, ", f.wire.addr(k))
		}
	}
	b.WriteString("]\n")
	file, err := config.Parse(name(i), []byte(b.String()))
	if err != nil {
		return cluster.Options{}, err
	}
	c := file.Cluster
	pace, offset := 1+f.opts.Drift*(2*rng.Float64()-1), time.Duration(rng.Int64N(int64(time.Hour)))
	if f.opts.Pace != nil {
		if p := f.opts.Pace(i); p > 0 {
			pace = p
		}
	}
	return cluster.Options{Name: file.Name, Zone: file.Zone, Version: version, Listen: c.Listen, Advertise: c.Advertise, Join: c.Join, MaxSenders: file.Senders,
		MinShareTotal: c.Least, Lease: time.Duration(c.Lease), Interval: time.Duration(c.Lease) / config.HeartbeatsPerLease, MaxClockDrift: c.Drift, Dir: dir, ShareFacts: *c.Facts,
		Log: slog.New(slog.DiscardHandler), Hooks: f.wire.rig(i, clock(pace, offset))}, nil
}

// clock begins somewhere and runs at a pace. A process that is paused as a whole
// finds it further on.
func clock(pace float64, offset time.Duration) func() time.Duration {
	from := time.Now()
	return func() time.Duration { return offset + time.Duration(float64(time.Since(from))*pace) }
}

// tell has waits told now and then, each by one of the senders that run.
func (f *fleet) tell(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.opts.Seed, 2))
	t := time.NewTicker(max(time.Duration(float64(time.Second)/f.opts.Facts), time.Millisecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s := f.senders[rng.IntN(len(f.senders))]
		s.mu.Lock()
		if s.life != nil {
			s.life.PublishWait(fmt.Sprintf("partner-%d", n), "192.0.2.1:443", facts.MaxTTL)
		}
		s.mu.Unlock()
	}
}

// close ends all senders and removes their folders.
func (f *fleet) close() {
	if f.stop != nil {
		f.stop()
	}
	f.told.Wait()
	all := make([]int, len(f.senders))
	for i := range all {
		all[i] = i
	}
	f.kill(all)
	os.RemoveAll(f.dir)
	f.lock.Close()
}

func (f *fleet) size() int          { return len(f.senders) }
func (f *fleet) now() time.Duration { return time.Since(f.began) }

// run lets time pass and looks now and then.
func (f *fleet) run(d time.Duration, look func()) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-t.C
		look()
	}
}

// start starts processes, so to speak.
func (f *fleet) start(list []int) error {
	for _, i := range list {
		s := f.senders[i]
		c, err := cluster.Open(s.opts)
		if err != nil {
			return fmt.Errorf("hollow: %s: %w", name(i), err)
		}
		ctx, deaf := context.WithCancel(context.Background())
		go c.WatchObservations(ctx, func([]facts.Observation) {})
		s.mu.Lock()
		s.life, s.deaf = c, deaf
		s.mu.Unlock()
	}
	return nil
}

// kill ends processes at once; their addresses refuse.
func (f *fleet) kill(list []int) {
	var all sync.WaitGroup
	for _, i := range list {
		s := f.senders[i]
		s.mu.Lock()
		c, deaf := s.life, s.deaf
		s.life = nil
		s.mu.Unlock()
		if c != nil {
			deaf()
			all.Go(c.Close)
		}
	}
	all.Wait()
}

func (f *fleet) cut(from, to int, cut bool) { f.wire.cut(from, to, cut) }

// parts tells which part of each rate each may use now; -1 for one that does not run.
// Looks at many senders take a moment in which a part may go from one to another, and
// be seen twice: of three looks one right after another the one with the lowest sum
// counts, if the first sees more than one rate.
func (f *fleet) parts(out []float64) {
	if f.look(out) <= most {
		return
	}
	again := make([]float64, len(out))
	for range 2 {
		if f.look(again) < total(out) {
			copy(out, again)
		}
	}
}

func (f *fleet) look(out []float64) (sum float64) {
	for i, s := range f.senders {
		s.mu.Lock()
		c := s.life
		s.mu.Unlock()
		out[i] = -1
		if c != nil {
			out[i] = c.AllowedShare()
			sum += out[i]
		}
	}
	return sum
}

func (f *fleet) counts(out []Count) {
	for i := range f.wire.counts {
		out[i] = f.wire.counts[i].get()
	}
}

// belief is what the senders believe of each other, at the end of a play.
type belief struct {
	agree   bool           // each that runs takes all others for here, or for ended
	wrong   int            // lives that were taken for gone and heard again
	dropped map[string]int // packets that the senders dropped themselves, by reason
	mute    int            // senders whose loop did not answer
}

func (f *fleet) believes() (b belief) {
	b.agree, b.dropped = true, map[string]int{}
	runs := map[string]bool{}
	for i, s := range f.senders {
		runs[name(i)] = s.life != nil
	}
	for _, s := range f.senders {
		if s.life == nil {
			continue
		}
		for why, n := range s.life.Dropped() {
			b.dropped[why] += n
		}
		status, err := s.life.Status()
		if err != nil {
			b.mute++
			b.agree = false
			continue
		}
		b.wrong += status.HeardAfterGone
		b.agree = b.agree && len(status.Peers) == len(f.senders)-1
		for _, o := range status.Peers {
			b.agree = b.agree && (o.State == "here") == runs[o.Name]
		}
	}
	return b
}
