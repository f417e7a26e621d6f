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
	largeRequestDivisor = 8     // 1/8 of the memory may be used by large requests until they are answered
	defaultMemoryMB     = 192   // of memory, if none is configured
	maxEnded            = 16384 // ends of messages kept until the message's own deadline
)

// Platform is a sender that the platform runs: it accepts messages by RESP2, delivers them by HTTP, gets the list of
// endpoints from discovery, and reports ends by notices.
type Platform struct {
	cfg    *config.Platform // the current one; owned by followReloads once the core is ready
	core   *core.Core
	front  *resp.Front
	source *platform.Source
	sink   *notices.Sink
	life   *lifecycle.Controller
	log    *slog.Logger

	reloads reloadRelay
	monitor *permit.Monitor
}

// NewPlatform returns a sender that has replayed its journal. If another process has the journal, NewPlatform takes
// over from it, or waits until it exits. It fails if ctx is done before that or the journal can't be opened.
func NewPlatform(ctx context.Context, cfg *config.Platform, life *lifecycle.Controller,
	log *slog.Logger) (*Platform, error) {
	settings := cfg.Deployment.Settings
	log.Debug("settings", "set", settings)
	for _, instance := range cfg.InitialList.Instances {
		log.Debug("known", "ep", instance.ID, "partner", instance.Dest, "kind", instance.Kind, "zone", instance.Zone,
			"weight", instance.Weight)
	}
	journalBytes := int64(cfg.Limits.DiskMB*1e6) - config.SavedSpaceBytes
	open := func() (*journal.Journal, error) {
		return journal.Open(cfg.StateDir, journal.Options{MaxBytes: journalBytes, MaxEnded: maxEnded,
			Sync: store.SyncNever, Log: log}) // writes survive the process; they need not survive the machine
	}
	opened, takeover, err := acquire(ctx, cfg.StateDir, open, log)
	if err != nil {
		return nil, err
	}
	limits := divideDescriptors(descriptorLimit(cfg.Limits.Sockets, log), settings.Slots,
		store.MaxOpenFiles(journalBytes), consoleDescriptors(cfg.Console))
	if takeover != nil {
		cfg.InitialList.Generation = takeover.Snapshot.ListVersion
	}
	p := &Platform{cfg: cfg, monitor: permit.NewMonitor(log), log: log, life: life,
		sink: notices.New(cfg.Discovery, log), reloads: reloadRelay{log: log}}
	awaitList := takeover == nil && (!settings.ListOnRequest || usedBefore(opened))
	p.source = platform.New(platform.Options{Addr: cfg.Discovery, Known: cfg.InitialList, ConfirmKnown: awaitList,
		Poll: pollSettings(settings), Seed: cfg.Seed, Log: log})
	p.core, err = core.New(coreConfig(cfg, awaitList), core.Dependencies{Store: opened, Source: p.source, Sink: p.sink, Log: log,
		Transport: newPlatformTransport(cfg, limits), Lifecycle: life, Monitor: p.monitor, Takeover: takeover,
		ReopenStore: func() (core.Store, error) { return open() }})
	if err != nil {
		opened.Close()
		return nil, err
	}
	p.makeFront(limits)
	return p, nil
}

// usedBefore reports whether an earlier process has written the journal. The list of the configuration is then of that
// process. At the first start it is as new as the configuration.
func usedBefore(j *journal.Journal) bool {
	inForce := j.TermsInForce()
	return j.Len() > 0 || len(inForce.Configured.Classes) > 0 || len(inForce.Superseded) > 0
}

// coreConfig returns the part of the configuration that the core uses.
func coreConfig(cfg *config.Platform, awaitList bool) core.Config {
	out := core.Config{Name: cfg.Name, Settings: cfg.Deployment.Settings, Seed: cfg.Seed, Zones: cfg.Deployment.Zones,
		AwaitList: awaitList}
	if cfg.InitialList.Generation != 0 || len(cfg.InitialList.Instances) > 0 {
		known := cfg.InitialList.EndpointList()
		known.Complete = true
		out.CachedEndpoints = &known
	}
	return out
}

// newPlatformTransport returns the transport of a sender with its share of the descriptors.
func newPlatformTransport(cfg *config.Platform, limits connectionLimits) *httptransport.Transport {
	settings := cfg.Deployment.Settings
	transport := httptransport.New(duration(cfg.Deployment.ConnectTimeout), duration(settings.ConnIdle),
		httptransport.Limits{Open: limits.calls, Idle: limits.idle, PerEndpoint: settings.Slots})
	transport.LoadMetrics = cfg.Deployment.LoadMetrics
	return transport
}

// makeFront makes the front with its share of the descriptors and of the memory.
func (p *Platform) makeFront(limits connectionLimits) {
	memoryMB := p.cfg.Limits.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	p.front = resp.New(p.core, resp.Options{Listen: p.cfg.Listen, MaxConnections: limits.clients,
		MaxLingering: limits.ending, Withdraw: p.core.Withdraw, LargeRequestBytes: int64(memoryMB * (1 << 20) / largeRequestDivisor),
		NumericPartners: true, Monitor: p.monitor, Ready: func() bool { return p.life.Behavior().Ready }, Log: p.log})
}

// pollSettings returns the settings of the discovery client.
func pollSettings(settings logic.Settings) poll.Settings {
	return poll.Settings{Senders: settings.Senders, ListRetryWithin: duration(settings.ListRetryWithin),
		Agent: !settings.ListOnRequest}
}

func duration(t logic.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Metrics returns the sender's counters.
func (p *Platform) Metrics() (*core.Metrics, *permit.Monitor) { return p.core.Metrics(), p.monitor }

// Run serves until ctx is done, then shuts down gracefully. On each signal from reload it reads the configuration with
// load, applies its settings, and uses its discovery address for the list and the notices. Limits, name and listen
// addresses take effect at the next start.
func (p *Platform) Run(ctx context.Context, reload <-chan os.Signal, load func() (*config.Platform, error)) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir := p.cfg.StateDir
	go p.followReloads(work, reload, load)
	go func() {
		select {
		case <-p.core.Ready():
			serveSuccessors(work, dir, p.core, &p.reloads, p.log)
		case <-work.Done():
		}
	}()
	return p.core.Run(ctx, p.front)
}

// saveConfig saves the current configuration, as a fallback for the next start.
func (p *Platform) saveConfig() {
	if err := p.cfg.Save(); err != nil {
		p.log.Warn("saving the configuration failed", "err", err)
	}
}

// followReloads loads and applies the configuration on each signal, or passes the signal on once another process has
// taken over.
func (p *Platform) followReloads(ctx context.Context, signals <-chan os.Signal, load func() (*config.Platform, error)) {
	select { // wait until the listener's address is known and the journal is replayed
	case <-p.core.Ready():
	case <-ctx.Done():
		return
	}
	p.saveConfig()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if !p.reloads.received() {
			p.reload(load)
		}
	}
}

// reload applies the configuration that load returns. An invalid one changes nothing.
func (p *Platform) reload(load func() (*config.Platform, error)) {
	cfg, err := load()
	if err == nil {
		err = p.cfg.CheckReload(cfg)
	}
	if err == nil {
		err = p.core.UpdateSettings(cfg.Deployment.Settings, cfg.Deployment.Zones)
	}
	if err != nil {
		p.log.Error("reload: the old configuration stands", "err", err)
		return
	}
	p.cfg = cfg
	p.saveConfig()
	p.log.Info("reload: settings", "classes", len(cfg.Deployment.Settings.Classes), "attempts", cfg.Deployment.Settings.MaxAttempts)
	p.sink.SetAddress(cfg.Discovery)
	p.source.UpdateSettings(pollSettings(cfg.Deployment.Settings))
	if p.source.SetAddress(cfg.Discovery) {
		p.log.Info("reload: discovery address changed", "to", cfg.Discovery)
	} else {
		p.log.Info("reload: discovery address unchanged", "addr", cfg.Discovery)
	}
}
