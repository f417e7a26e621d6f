package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/daemon"
	"cometrack/internal/lifecycle"
	"cometrack/internal/standin/partner"
)

const (
	deadline   = 12 * time.Second // of a message
	startTime  = 10 * time.Second
	progress   = 2 * time.Second
	settleTime = 5 * time.Second // beyond the deadline of the last message
)

// Options set a demo up.
type Options struct {
	State string        // folder for the journal; empty for a temporary one
	For   time.Duration // of traffic
	Rate  int           // messages a second through each front
	Keep  bool          // go on until ctx is over
	Out   io.Writer
}

// scripts are the partners, each in trouble of its own.
var scripts = []struct {
	partner.Options
	rate  int // that the configuration tells; 0 for none
	about string
}{
	{partner.Options{Name: "steady", Latency: 15 * time.Millisecond}, 0, "answers in 15 ms"},
	{partner.Options{Name: "slow", Latency: 700 * time.Millisecond}, 0, "answers in 700 ms"},
	{partner.Options{Name: "full", Latency: 20 * time.Millisecond, Rate: 10, RequestedWait: 400 * time.Millisecond}, 10, "takes 10 a second, and tells to wait above that"},
	{partner.Options{Name: "flapping", Latency: 20 * time.Millisecond, Phases: []partner.Phase{{Mode: partner.Healthy, Duration: 4 * time.Second},
		{Mode: partner.Down, Duration: 2 * time.Second}}}, 0, "well for 4 s, dead for 2 s"},
	{partner.Options{Name: "hanging", Latency: 20 * time.Millisecond, Phases: []partner.Phase{{Mode: partner.Healthy, Duration: 5 * time.Second},
		{Mode: partner.Hanging, Duration: 3 * time.Second}}}, 0, "well for 5 s, takes calls and answers none for 3 s"},
	{partner.Options{Name: "dead", Phases: []partner.Phase{{Mode: partner.Down, Duration: time.Hour}}}, 0, "nobody listens"},
}

// classes of the demo's messages, each with its effect.
var classes = []string{"notice", "order", "payment"}

const fileHead = `name = "demo"
[limits]
slots = 128
open_messages = 4000
[front.resp]
listen = "127.0.0.1:0"
[front.http]
listen = "127.0.0.1:0"
window = 100000
[[class]]
name = "notice"
effect = "safe"
aim = "2s"
deadline = "12s"
[[class]]
name = "order"
effect = "keyed"
aim = "2s"
deadline = "12s"
window = "30s"
worth = 2
[[class]]
name = "payment"
effect = "unsafe"
aim = "2s"
deadline = "12s"
worth = 3
`

// Run runs a demo; it ends by itself unless it is to be kept.
func Run(ctx context.Context, opts Options) error {
	if opts.Rate < 1 || opts.For <= 0 {
		return fmt.Errorf("demo: rate and time must be above 0")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	partners, text, err := startPartners()
	for _, p := range partners {
		defer p.Close()
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if opts.State == "" {
		dir, err := os.MkdirTemp("", "cometrack-demo")
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		defer os.RemoveAll(dir)
		opts.State = dir
	}
	f, err := config.Parse("demo.toml", []byte(text))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	f.State = opts.State
	log, err := os.Create(filepath.Join(opts.State, "demo.log"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer log.Close()
	logger := slog.New(slog.NewTextHandler(log, nil))
	d, err := daemon.NewStandalone(ctx, f, lifecycle.NewController(core.LifecycleTimes, logger), logger)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	ended := make(chan error, 1)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { ended <- d.Run(running, nil, nil) }()
	select {
	case <-d.Core().Ready():
	case err := <-ended:
		return fmt.Errorf("demo: the daemon has ended: %w", err)
	case <-time.After(startTime):
		return fmt.Errorf("demo: the daemon does not start")
	}
	fmt.Fprintf(opts.Out, "cometrack serves on loopback: HTTP %s, RESP2 %s; its log is %s\n", d.HTTPAddr(), d.RESPAddr(), log.Name())
	for _, s := range scripts {
		fmt.Fprintf(opts.Out, "  partner %-9s %s\n", s.Name, s.about)
	}
	err = drive(ctx, opts, d, partners)
	stop()
	if e := <-ended; err == nil && e != nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

func startPartners() (list []*partner.Partner, text string, err error) {
	var b strings.Builder
	b.WriteString(fileHead)
	for _, s := range scripts {
		p, err := partner.Start(s.Options)
		if err != nil {
			return list, "", err
		}
		list = append(list, p)
		fmt.Fprintf(&b, "[[partner]]\nname = %q\nendpoints = [%q]\n", s.Name, p.Addr())
		if s.rate > 0 {
			fmt.Fprintf(&b, "rate = %d\n", s.rate)
		}
	}
	return list, b.String(), nil
}

// drive sends the traffic, follows the ends and shows what became of it.
func drive(ctx context.Context, opts Options, d *daemon.Standalone, partners []*partner.Partner) error {
	t := newTally()
	streaming, stop := context.WithCancel(context.Background())
	defer stop()
	following := make(chan error, 1)
	ready := make(chan struct{})
	go func() { following <- follow(streaming, d.HTTPAddr(), ready, t.end) }()
	select {
	case <-ready:
	case err := <-following:
		return err
	}
	sending, end := ctx, func() {}
	if !opts.Keep {
		var cancel context.CancelFunc
		sending, cancel = context.WithTimeout(ctx, opts.For)
		end = cancel
	}
	defer end()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		var wg sync.WaitGroup
		for _, s := range []submitter{newHTTPClient(d.HTTPAddr()), newRESPClient(d.RESPAddr())} {
			wg.Go(func() { send(sending, s, opts.Rate, t) })
		}
		wg.Wait()
	}()
	tick := time.NewTicker(progress)
	defer tick.Stop()
	start := time.Now()
	var over <-chan time.Time
	for {
		select {
		case <-sent:
			sent = nil
			over = time.After(deadline + settleTime)
		case err := <-following:
			return fmt.Errorf("stream of ends: %w", err)
		case <-tick.C:
			fmt.Fprintf(opts.Out, "%4.0f s  %s\n", time.Since(start).Seconds(), t.line())
		case <-over:
			return t.report(opts.Out, partners)
		}
		if sent == nil && t.open() == 0 {
			return t.report(opts.Out, partners)
		}
	}
}
