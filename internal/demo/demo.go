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
	deadline         = 12 * time.Second // of a message
	startTimeout     = 10 * time.Second
	progressInterval = 2 * time.Second
	settleTimeout    = 5 * time.Second // beyond the deadline of the last message
)

// Options configure a demo.
type Options struct {
	StateDir          string        // folder of the journal; empty for a temporary one
	Duration          time.Duration // of traffic
	Rate              int           // messages a second through each front
	RunUntilCancelled bool          // send until ctx ends, regardless of Duration
	Out               io.Writer
}

// partnerScripts are the partners of the demo, each with its own kind of fault.
var partnerScripts = []struct {
	partner.Options
	configuredRate int // calls a second in the configuration; 0 for no limit
	description    string
}{
	{partner.Options{Name: "steady", Latency: 15 * time.Millisecond}, 0, "answers in 15 ms"},
	{partner.Options{Name: "slow", Latency: 700 * time.Millisecond}, 0, "answers in 700 ms"},
	{partner.Options{Name: "full", Latency: 20 * time.Millisecond, Rate: 10, RequestedWait: 400 * time.Millisecond}, 10,
		"serves 10 a second, and requests a wait above that"},
	{partner.Options{Name: "flapping", Latency: 20 * time.Millisecond, Phases: []partner.Phase{
		{Mode: partner.Healthy, Duration: 4 * time.Second}, {Mode: partner.Down, Duration: 2 * time.Second}}}, 0,
		"healthy for 4 s, down for 2 s"},
	{partner.Options{Name: "hanging", Latency: 20 * time.Millisecond, Phases: []partner.Phase{
		{Mode: partner.Healthy, Duration: 5 * time.Second}, {Mode: partner.Hanging, Duration: 3 * time.Second}}}, 0,
		"healthy for 5 s, accepts calls without answering for 3 s"},
	{partner.Options{Name: "dead", Phases: []partner.Phase{{Mode: partner.Down, Duration: time.Hour}}}, 0,
		"refuses connections"},
}

// classes are the classes of the demo's messages: one for each effect.
var classes = []string{"notice", "order", "payment"}

// configHead is the configuration up to the list of partners.
const configHead = `name = "demo"
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

// Run runs a demo and prints its progress and result to opts.Out. It returns once
// all messages have ended or their time is over, and an error if a message, an
// attempt or the daemon broke a rule. With RunUntilCancelled it submits messages until ctx ends.
func Run(ctx context.Context, opts Options) error {
	if opts.Rate < 1 || opts.Duration <= 0 {
		return fmt.Errorf("demo: rate and duration must be above 0")
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
	if opts.StateDir == "" {
		dir, err := os.MkdirTemp("", "cometrack-demo")
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		defer os.RemoveAll(dir)
		opts.StateDir = dir
	}
	f, err := config.Parse("demo.toml", []byte(text))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	f.State = opts.StateDir
	logFile, err := os.Create(filepath.Join(opts.StateDir, "demo.log"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer logFile.Close()
	logger := slog.New(slog.NewTextHandler(logFile, nil))
	d, err := daemon.NewStandalone(ctx, f, lifecycle.NewController(core.LifecycleTimes, logger), logger)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	daemonErr := make(chan error, 1)
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { daemonErr <- d.Run(runCtx, nil, nil) }()
	select {
	case <-d.Core().Ready():
	case err := <-daemonErr:
		return fmt.Errorf("demo: the daemon exited early: %w", err)
	case <-time.After(startTimeout):
		return fmt.Errorf("demo: the daemon is not ready in time")
	}
	fmt.Fprintf(opts.Out, "cometrack listens on loopback: HTTP %s, RESP2 %s; log: %s\n",
		d.HTTPAddr(), d.RESPAddr(), logFile.Name())
	for _, s := range partnerScripts {
		fmt.Fprintf(opts.Out, "  partner %-9s %s\n", s.Name, s.description)
	}
	err = drive(ctx, opts, d, partners)
	stop()
	if e := <-daemonErr; err == nil && e != nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return nil
}

// startPartners starts the partners and returns them with the text of the daemon's
// configuration. It returns those that run also with an error.
func startPartners() (list []*partner.Partner, text string, err error) {
	var b strings.Builder
	b.WriteString(configHead)
	for _, s := range partnerScripts {
		p, err := partner.Start(s.Options)
		if err != nil {
			return list, "", err
		}
		list = append(list, p)
		fmt.Fprintf(&b, "[[partner]]\nname = %q\nendpoints = [%q]\n", s.Name, p.Addr())
		if s.configuredRate > 0 {
			fmt.Fprintf(&b, "rate = %d\n", s.configuredRate)
		}
	}
	return list, b.String(), nil
}

// drive submits the traffic, follows the notices of ends and prints the result.
func drive(ctx context.Context, opts Options, d *daemon.Standalone, partners []*partner.Partner) error {
	t := newTally()
	streamCtx, stop := context.WithCancel(context.Background())
	defer stop()
	streamErr := make(chan error, 1)
	ready := make(chan struct{})
	go func() { streamErr <- follow(streamCtx, d.HTTPAddr(), ready, t.recordEnd) }()
	select {
	case <-ready:
	case err := <-streamErr:
		return err
	}
	sendCtx, cancelSend := ctx, func() {}
	if !opts.RunUntilCancelled {
		var cancel context.CancelFunc
		sendCtx, cancel = context.WithTimeout(ctx, opts.Duration)
		cancelSend = cancel
	}
	defer cancelSend()
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		var wg sync.WaitGroup
		for _, s := range []submitter{newHTTPClient(d.HTTPAddr()), newRESPClient(d.RESPAddr())} {
			wg.Go(func() { submitOnSchedule(sendCtx, s, opts.Rate, t) })
		}
		wg.Wait()
	}()
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	start := time.Now()
	var timeout <-chan time.Time
	for {
		select {
		case <-submitted:
			submitted = nil
			timeout = time.After(deadline + settleTimeout)
		case err := <-streamErr:
			return fmt.Errorf("stream of ends: %w", err)
		case <-tick.C:
			fmt.Fprintf(opts.Out, "%4.0f s  %s\n", time.Since(start).Seconds(), t.progressLine())
		case <-timeout:
			return t.report(opts.Out, partners)
		}
		if submitted == nil && t.pending() == 0 {
			return t.report(opts.Out, partners)
		}
	}
}
