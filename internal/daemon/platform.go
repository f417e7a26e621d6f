package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/front/resp"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/permit"
	"cometrack/internal/sink/notices"
	"cometrack/internal/source/platform"
	"cometrack/internal/source/platform/poll"
	"cometrack/internal/store"
	httptransport "cometrack/internal/transport/http"
	"cometrack/logic"
)

const (
	largeShare    = 8     // the part of the memory that large requests may take until they are answered
	defaultMemory = 192   // MB
	mostEnded     = 16384 // ends that are remembered until the message's own time is up
)

// Platform is a sender as the platform runs it: RESP2 in, HTTP out, the list of
// endpoints from discovery, ends told by notices.
type Platform struct {
	cfg    *config.Platform // that holds; the loop of reloads changes it
	core   *core.Core
	front  *resp.Front
	source *platform.Source
	sink   *notices.Sink
	life   *lifecycle.Controller
	log    *slog.Logger

	monitor *permit.Monitor
}

// NewPlatform makes a sender and replays its journal. If another process has that,
// it takes over from it, or waits for its end.
func NewPlatform(ctx context.Context, cfg *config.Platform, life *lifecycle.Controller, log *slog.Logger) (*Platform, error) {
	set := cfg.Deployment.Settings
	log.Debug("settings", "set", set)
	for _, x := range cfg.InitialList.Instances {
		log.Debug("known", "ep", x.ID, "partner", x.Dest, "kind", x.Kind, "zone", x.Zone, "weight", x.Weight)
	}
	open := func() (*journal.Journal, error) {
		return journal.Open(cfg.StateDir, journal.Options{MaxBytes: int64(cfg.Limits.DiskMB*1e6) - config.SavedSpaceBytes, MaxEnded: mostEnded,
			Sync: store.SyncNever, Log: log}) // what is written outlasts the process there, and the machine is not to be outlasted
	}
	kept, from, err := acquire(ctx, cfg.StateDir, open, log)
	if err != nil {
		return nil, err
	}
	share := shareOut(descriptors(cfg.Limits.Sockets, log), set.Slots, store.MaxOpenFiles(int64(cfg.Limits.DiskMB*1e6)-config.SavedSpaceBytes), consoleFiles(cfg.Console))
	if from != nil {
		cfg.InitialList.Generation = from.Snapshot.ListVersion
	}
	monitor := permit.NewMonitor(log)
	p := &Platform{cfg: cfg, monitor: monitor, log: log, life: life, sink: notices.New(cfg.Discovery, log)}
	p.source = platform.New(platform.Options{Addr: cfg.Discovery, Known: cfg.InitialList, Poll: pollSettings(set), Seed: cfg.Seed, Log: log})
	conf := core.Config{Name: cfg.Name, Settings: set, Seed: cfg.Seed, Zones: cfg.Deployment.Zones}
	if cfg.InitialList.Generation != 0 || len(cfg.InitialList.Instances) > 0 {
		known := cfg.InitialList.EndpointList()
		known.Complete = true
		conf.CachedEndpoints = &known
	}
	transport := httptransport.New(span(cfg.Deployment.ConnectTimeout), span(set.ConnIdle),
		httptransport.Limits{Open: share.calls, Idle: share.idle, PerEndpoint: set.Slots})
	transport.LoadMetrics = cfg.Deployment.LoadMetrics
	p.core, err = core.New(conf, core.Dependencies{Store: kept, Source: p.source, Sink: p.sink, Log: log, Transport: transport, Lifecycle: life, Monitor: monitor,
		Takeover: from, ReopenStore: func() (core.Store, error) { return open() }})
	if err != nil {
		kept.Close()
		return nil, err
	}
	memory := cfg.Limits.MemoryMB
	if memory <= 0 {
		memory = defaultMemory
	}
	p.front = resp.New(p.core, resp.Options{Listen: cfg.Listen, MaxConnections: share.clients, MaxLingering: share.ending,
		LargeRequestBytes: int64(memory * (1 << 20) / largeShare), NumericPartners: true, Monitor: monitor,
		Ready: func() bool { return life.Behavior().Ready }, Log: log})
	return p, nil
}

// pollSettings are what the settings say of discovery.
func pollSettings(set logic.Settings) poll.Settings {
	return poll.Settings{Senders: set.Senders, ListRetryWithin: span(set.ListRetryWithin), Agent: !set.ListOnRequest}
}

func span(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Metrics are what the sender counts.
func (p *Platform) Metrics() (*core.Metrics, *permit.Monitor) { return p.core.Metrics(), p.monitor }

// Run serves until ctx is cancelled, then shuts down in good order. At each signal
// the configuration is read anew with load: its settings take the place of the old
// ones, and discovery and notices move to the address that it names. What it says
// of limits, name and addresses is for the next start.
func (p *Platform) Run(ctx context.Context, reload <-chan os.Signal, load func() (*config.Platform, error)) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir := p.cfg.StateDir
	go p.reloads(work, reload, load)
	go func() {
		select {
		case <-p.core.Ready():
			serveSuccessors(work, dir, p.core, p.log)
		case <-work.Done():
		}
	}()
	return p.core.Run(ctx, p.front)
}

// keep keeps the configuration that holds for the next start.
func (p *Platform) keep() {
	if err := p.cfg.Save(); err != nil {
		p.log.Warn("the configuration is not kept", "err", err)
	}
}

// reloads follows new configurations. One that can't be read changes nothing.
func (p *Platform) reloads(ctx context.Context, signals <-chan os.Signal, load func() (*config.Platform, error)) {
	select { // the listener's address is known, and the journal replayed
	case <-p.core.Ready():
	case <-ctx.Done():
		return
	}
	p.keep()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		cfg, err := load()
		if err == nil {
			err = p.cfg.CheckReload(cfg)
		}
		if err == nil {
			err = p.core.UpdateSettings(cfg.Deployment.Settings, cfg.Deployment.Zones)
		}
		if err != nil {
			p.log.Error("reload: the old configuration stands", "err", err)
			continue
		}
		p.cfg = cfg
		p.keep()
		p.log.Info("reload: settings", "classes", len(cfg.Deployment.Settings.Classes), "attempts", cfg.Deployment.Settings.MaxTries)
		p.sink.SetAddress(cfg.Discovery)
		p.source.UpdateSettings(pollSettings(cfg.Deployment.Settings))
		if p.source.SetAddress(cfg.Discovery) {
			p.log.Info("reload: discovery moves", "to", cfg.Discovery)
		} else {
			p.log.Info("reload: same discovery", "addr", cfg.Discovery)
		}
	}
}
