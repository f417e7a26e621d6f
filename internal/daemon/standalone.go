package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/front/auth"
	httpfront "cometrack/internal/front/http"
	"cometrack/internal/front/resp"
	"cometrack/internal/journal"
	"cometrack/internal/lifecycle"
	"cometrack/internal/permit"
	"cometrack/internal/sink/fan"
	"cometrack/internal/sink/jsonl"
	"cometrack/internal/sink/webhook"
	"cometrack/internal/source/static"
	"cometrack/internal/store"
	httptransport "cometrack/internal/transport/http"
)

// Standalone is a daemon that its own configuration file describes.
type Standalone struct {
	core    *core.Core
	cluster *cluster.Cluster // nil if no cluster is configured
	file    *config.File
	source  *static.Source
	http    *httpfront.Front // nil if not configured
	resp    *resp.Front      // nil if not configured
	fronts  []core.Front
	life    *lifecycle.Controller
	monitor *permit.Monitor
	reloads reloadRelay
	log     *slog.Logger
}

// NewStandalone returns a daemon that has replayed its journal. If another process has the journal, NewStandalone takes
// over from it, or waits until it exits. It fails if ctx is done before that, if the journal or the cluster can't be
// opened, or if the configuration can't be used.
func NewStandalone(ctx context.Context, f *config.File, life *lifecycle.Controller,
	log *slog.Logger) (*Standalone, error) {
	if err := os.MkdirAll(f.State, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	open := func() (*journal.Journal, error) {
		return journal.Open(f.State, journal.Options{MaxBytes: int64(f.Limits.DiskMB) * 1e6,
			EndRetention: time.Duration(f.Limits.Remember), MaxEnded: f.Limits.Remembered, KeepPartners: true, MaxBodyInMemory: f.Store.Bodies,
			Sync: f.Store.SyncPolicy(), SyncInterval: time.Duration(f.Store.Interval), Log: log})
	}
	opened, takeover, err := acquire(ctx, f.State, open, log)
	if err != nil {
		return nil, err
	}
	deps := core.Dependencies{Monitor: permit.NewMonitor(log), OpenBacklog: openBacklog(f, log), Store: opened,
		Lifecycle: life, Takeover: takeover, ReopenStore: func() (core.Store, error) { return open() }, Log: log}
	var peers *cluster.Cluster
	if f.Cluster != nil {
		if peers, err = cluster.Open(clusterOptions(f, log)); err != nil {
			opened.Close()
			return nil, err
		}
		deps.AllowedShare = peers.AllowedShare
		if f.SharesFacts() {
			deps.Peers = clusterPeers{peers}
		}
	}
	s, err := assemble(f, peers, deps)
	if err != nil {
		if peers != nil {
			peers.Close()
		}
		opened.Close()
	}
	return s, err
}

// assemble makes a daemon from its file, its cluster (nil if there is none), and the dependencies that exist already,
// to which it adds the others.
func assemble(f *config.File, peers *cluster.Cluster, deps core.Dependencies) (*Standalone, error) {
	s := &Standalone{file: f, cluster: peers, life: deps.Lifecycle, monitor: deps.Monitor, log: deps.Log,
		reloads: reloadRelay{log: deps.Log}}
	list, log := f.EndpointList(s.currentShare()), deps.Log
	s.source = static.New(list)
	files := store.MaxOpenFiles(int64(f.Limits.DiskMB)*1e6) + maxBacklogFiles(f)
	limits := divideDescriptors(descriptorLimit(f.Limits.Descriptors, log), f.Limits.Slots, files,
		consoleDescriptors(f.Console.Listen))
	transport := httptransport.New(time.Duration(f.Transport.HTTP.ConnectTimeout), time.Duration(f.Transport.HTTP.Idle),
		httptransport.Limits{Open: limits.calls, Idle: limits.idle, PerEndpoint: f.Limits.Slots})
	transport.SourceIP, transport.UseRetryAfter = net.ParseIP(f.Transport.HTTP.Source), true
	var stream *httpfront.Stream
	var sinks []fan.Sink
	if h := f.Front.HTTP; h != nil {
		stream = httpfront.NewStream(h.Window)
	}
	if w := f.Sink.Webhook; w != nil {
		key, err := w.SigningKey()
		if err != nil {
			return nil, fmt.Errorf("webhook: %w", err)
		}
		sinks = append(sinks, webhook.New(webhook.Options{URL: w.URL, Key: key, Timeout: time.Duration(w.Timeout),
			Parallel: w.Parallel, MaxQueued: w.Waiting, Log: log}))
	}
	if x := f.Sink.File; x != nil {
		sinks = append(sinks, jsonl.New(jsonl.Options{Path: x.Path, MaxMB: x.MaxMB, MaxBackups: x.Keep,
			MaxQueued: x.Waiting, Log: log}))
	}
	sink := fan.New(sinks...)
	if stream != nil {
		sink.Observe(stream.Add)
	}
	var seed [8]byte
	rand.Read(seed[:])
	deps.Transport, deps.Source, deps.Sink = transport, s.source, sink
	var err error
	s.core, err = core.New(core.Config{Name: f.Name, Settings: f.Settings(),
		Seed: binary.LittleEndian.Uint64(seed[:]), Zones: f.Zones, CachedEndpoints: &list, NotifyDelivered: true, PersistWaits: true}, deps)
	if err != nil {
		return nil, err
	}
	s.makeFronts(limits, stream)
	return s, nil
}

// makeFronts makes the configured fronts. Each gets an equal share of the client connections and of the memory for
// large requests.
func (s *Standalone) makeFronts(limits connectionLimits, stream *httpfront.Stream) {
	f := s.file
	n := 0
	for _, configured := range []bool{f.Front.RESP != nil, f.Front.HTTP != nil} {
		if configured {
			n++
		}
	}
	var tenant func(string) (string, bool)
	if f.HasTokens() {
		tenant = auth.New(f.Tenants).Tenant
	}
	memory := int64(f.Limits.MemoryMB) << 20 / largeRequestDivisor / int64(n)
	if h := f.Front.HTTP; h != nil {
		s.http = httpfront.New(s.core.NewFrontLimiter(n), httpfront.Options{Listen: h.Listen,
			Certificate: h.Certificate, Key: h.Key, MaxConnections: (limits.clients + limits.ending) / n, LargeBodyBytes: memory, MaxLongPolls: h.LongPolls, MaxStreams: h.Streams,
			MaxWait: time.Duration(h.MaxWait), Tenant: tenant, Stream: stream, DefaultDeadline: s.core.Deadline, Log: s.log})
		s.fronts = append(s.fronts, s.http)
	}
	if r := f.Front.RESP; r != nil {
		s.resp = resp.New(s.core.NewFrontLimiter(n), resp.Options{Listen: r.Listen, MaxConnections: limits.clients / n,
			MaxLingering: limits.ending / n, LargeRequestBytes: memory, Monitor: s.monitor, Tenant: tenant,
			Ready: func() bool { return s.life.Behavior().Ready }, Log: s.log})
		s.fronts = append(s.fronts, s.resp)
	}
}

// Metrics returns the daemon's counters.
func (s *Standalone) Metrics() (*core.Metrics, *permit.Monitor) { return s.core.Metrics(), s.monitor }

// Core returns the daemon's core.
func (s *Standalone) Core() *core.Core { return s.core }

// HTTPAddr returns the address at which the HTTP front listens. It is valid once the core is ready.
func (s *Standalone) HTTPAddr() string { return s.http.Addr().String() }

// RESPAddr returns the address at which the RESP2 front listens. It is valid once the core is ready.
func (s *Standalone) RESPAddr() string { return s.resp.Addr().String() }

// Run serves until ctx is done, then shuts down gracefully. On each signal from reload it reads the file with load,
// applies its partners, classes, rules, quotas and limits of messages, and rereads the certificates. A file with an
// error changes nothing.
func (s *Standalone) Run(ctx context.Context, reload <-chan os.Signal, load func() (*config.File, error)) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir := s.file.State
	go func() {
		select {
		case <-s.core.Ready():
			serveSuccessors(work, dir, s.core, &s.reloads, s.log)
		case <-work.Done():
		}
	}()
	var shareChanged <-chan struct{}
	if s.cluster != nil {
		defer s.cluster.Close()
		shareChanged = s.cluster.Changed()
		go s.leaveCluster(work)
	}
	go s.followReloads(work, reload, shareChanged, load)
	return s.core.Run(ctx, s.fronts...)
}

// followReloads loads and applies the configuration on each signal, or passes the signal on once another process has
// taken over. It sets the partners' shares on each change of them.
func (s *Standalone) followReloads(ctx context.Context, signals <-chan os.Signal, shareChanged <-chan struct{},
	load func() (*config.File, error)) {
	select { // settings can be applied once the core's loop runs
	case <-s.core.Ready():
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			if !s.reloads.received() {
				s.reload(load)
			}
		case <-shareChanged:
			s.source.Set(s.file.EndpointList(s.currentShare()))
		}
	}
}

// reload applies the configuration file that load returns. A file with an error changes nothing.
func (s *Standalone) reload(load func() (*config.File, error)) {
	f, err := load()
	if err != nil {
		s.log.Error("reload: the old configuration stands", "err", err)
		return
	}
	if err := s.core.UpdateSettings(f.Settings(), f.Zones); err != nil {
		s.log.Error("reload: the old configuration stands", "err", err)
		return
	}
	if s.http != nil {
		if err := s.http.ReloadCertificate(); err != nil {
			s.log.Error("reload: the old certificate stands", "err", err)
		}
	}
	s.source.Set(f.EndpointList(s.currentShare()))
	for _, name := range config.ChangedSections(s.file, f) {
		s.log.Warn("reload: this change takes effect at the next start", "section", name)
	}
	present := map[string]bool{}
	for _, p := range f.Partners {
		present[p.Name] = true
	}
	for _, p := range s.file.Partners {
		if !present[p.Name] {
			s.log.Warn("reload: a partner was removed; its pending messages are kept until their deadlines", "partner", p.Name)
		}
	}
	partners := len(f.Partners)
	applied := *s.file
	applied.Partners, applied.Classes, applied.Rules = f.Partners, f.Classes, f.Rules
	applied.Limits.Attempts, applied.Limits.OpenMessages, applied.Limits.Slots =
		f.Limits.Attempts, f.Limits.OpenMessages, f.Limits.Slots
	applied.Limits.RetryAfter = f.Limits.RetryAfter
	s.file = &applied
	s.log.Info("reload: partners follow the file", "partners", partners)
}
