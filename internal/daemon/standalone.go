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

// Standalone is a daemon as its own file sets it up.
type Standalone struct {
	core    *core.Core
	cluster *cluster.Cluster // nil if it knows nothing of other senders
	file    *config.File
	source  *static.Source
	http    *httpfront.Front // nil if it is not served
	resp    *resp.Front      // nil if it is not served
	fronts  []core.Front
	life    *lifecycle.Controller
	monitor *permit.Monitor
	log     *slog.Logger
}

// NewStandalone makes a daemon and replays its journal. If another process has
// that, it takes over from it, or waits for its end.
func NewStandalone(ctx context.Context, f *config.File, life *lifecycle.Controller, log *slog.Logger) (*Standalone, error) {
	if err := os.MkdirAll(f.State, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	open := func() (*journal.Journal, error) {
		return journal.Open(f.State, journal.Options{MaxBytes: int64(f.Limits.DiskMB) * 1e6,
			EndRetention: time.Duration(f.Limits.Remember), MaxEnded: f.Limits.Remembered, KeepPartners: true, MaxBodyInMemory: f.Store.Bodies,
			Sync: f.Store.SyncPolicy(), SyncInterval: time.Duration(f.Store.Interval), Log: log})
	}
	kept, from, err := acquire(ctx, f.State, open, log)
	if err != nil {
		return nil, err
	}
	parts := core.Dependencies{Monitor: permit.NewMonitor(log), OpenBacklog: behind(f, log), Store: kept, Lifecycle: life, Takeover: from, ReopenStore: func() (core.Store, error) { return open() }, Log: log}
	var others *cluster.Cluster
	if f.Cluster != nil {
		if others, err = cluster.Open(meet(f, log)); err != nil {
			kept.Close()
			return nil, err
		}
		parts.AllowedShare = others.AllowedShare
		if f.SharesFacts() {
			parts.Peers = observations{others}
		}
	}
	s, err := assemble(f, others, parts)
	if err != nil {
		if others != nil {
			others.Close()
		}
		kept.Close()
	}
	return s, err
}

// assemble puts a daemon together from its file, and those parts that are there.
func assemble(f *config.File, others *cluster.Cluster, parts core.Dependencies) (*Standalone, error) {
	s := &Standalone{file: f, cluster: others, life: parts.Lifecycle, monitor: parts.Monitor, log: parts.Log}
	list, log := f.EndpointList(s.part()), parts.Log
	s.source = static.New(list)
	files := store.MaxOpenFiles(int64(f.Limits.DiskMB)*1e6) + backlogFiles(f)
	share := shareOut(descriptors(f.Limits.Descriptors, log), f.Limits.Slots, files, consoleFiles(f.Console.Listen))
	transport := httptransport.New(time.Duration(f.Transport.HTTP.ConnectTimeout), time.Duration(f.Transport.HTTP.Idle),
		httptransport.Limits{Open: share.calls, Idle: share.idle, PerEndpoint: f.Limits.Slots})
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
		sinks = append(sinks, jsonl.New(jsonl.Options{Path: x.Path, MaxMB: x.MaxMB, MaxBackups: x.Keep, MaxQueued: x.Waiting, Log: log}))
	}
	sink := fan.New(sinks...)
	if stream != nil {
		sink.Observe(stream.Add)
	}
	var seed [8]byte
	rand.Read(seed[:])
	parts.Transport, parts.Source, parts.Sink = transport, s.source, sink
	var err error
	s.core, err = core.New(core.Config{Name: f.Name, Settings: f.Settings(), Seed: binary.LittleEndian.Uint64(seed[:]), Zones: f.Zones,
		CachedEndpoints: &list, NotifyDelivered: true, PersistWaits: true}, parts)
	if err != nil {
		return nil, err
	}
	s.serve(share, stream)
	return s, nil
}

// serve makes the fronts. Each has an even share of the connections, and of the
// memory for large requests.
func (s *Standalone) serve(share shares, stream *httpfront.Stream) {
	f := s.file
	n := 0
	for _, on := range []bool{f.Front.RESP != nil, f.Front.HTTP != nil} {
		if on {
			n++
		}
	}
	var tenant func(string) (string, bool)
	if f.HasTokens() {
		tenant = auth.New(f.Tenants).Tenant
	}
	memory := int64(f.Limits.MemoryMB) << 20 / largeShare / int64(n)
	if h := f.Front.HTTP; h != nil {
		s.http = httpfront.New(s.core.NewFrontLimiter(n), httpfront.Options{Listen: h.Listen, Certificate: h.Certificate, Key: h.Key,
			MaxConnections: (share.clients + share.ending) / n, LargeBodyBytes: memory, MaxLongPolls: h.LongPolls, MaxStreams: h.Streams,
			MaxWait: time.Duration(h.MaxWait), Tenant: tenant, Stream: stream, DefaultDeadline: s.core.Deadline, Log: s.log})
		s.fronts = append(s.fronts, s.http)
	}
	if r := f.Front.RESP; r != nil {
		s.resp = resp.New(s.core.NewFrontLimiter(n), resp.Options{Listen: r.Listen, MaxConnections: share.clients / n, MaxLingering: share.ending / n, LargeRequestBytes: memory, Monitor: s.monitor,
			Tenant: tenant,
			Ready:  func() bool { return s.life.Behavior().Ready }, Log: s.log})
		s.fronts = append(s.fronts, s.resp)
	}
}

// Metrics are what the daemon counts.
func (s *Standalone) Metrics() (*core.Metrics, *permit.Monitor) { return s.core.Metrics(), s.monitor }

// Core is the daemon's core.
func (s *Standalone) Core() *core.Core { return s.core }

// HTTPAddr is where the HTTP front listens, once the core is ready.
func (s *Standalone) HTTPAddr() string { return s.http.Addr().String() }

// RESPAddr is where the RESP2 front listens, once the core is ready.
func (s *Standalone) RESPAddr() string { return s.resp.Addr().String() }

// Run serves until ctx is cancelled, then shuts down in good order. At each signal
// the file is read anew with load: its partners, classes, rules, quotas and the
// limits of messages take the place of the old ones, and certificates are reread.
// A file with an error changes nothing.
func (s *Standalone) Run(ctx context.Context, reload <-chan os.Signal, load func() (*config.File, error)) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	dir := s.file.State
	go func() {
		select {
		case <-s.core.Ready():
			serveSuccessors(work, dir, s.core, s.log)
		case <-work.Done():
		}
	}()
	var parts <-chan struct{}
	if s.cluster != nil {
		defer s.cluster.Close()
		parts = s.cluster.Changed()
		go s.depart(work)
	}
	go func() {
		select { // settings go to a loop that runs
		case <-s.core.Ready():
		case <-work.Done():
			return
		}
		for {
			select {
			case <-work.Done():
				return
			case <-reload:
				s.reload(load)
			case <-parts:
				s.source.Set(s.file.EndpointList(s.part()))
			}
		}
	}()
	return s.core.Run(ctx, s.fronts...)
}

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
	s.source.Set(f.EndpointList(s.part()))
	for _, name := range config.ChangedSections(s.file, f) {
		s.log.Warn("reload: this change is for the next start", "section", name)
	}
	now := map[string]bool{}
	for _, p := range f.Partners {
		now[p.Name] = true
	}
	for _, p := range s.file.Partners {
		if !now[p.Name] {
			s.log.Warn("reload: a partner is gone; messages held for it are kept until their time is up", "partner", p.Name)
		}
	}
	partners := len(f.Partners)
	keep := *s.file
	keep.Partners, keep.Classes, keep.Rules = f.Partners, f.Classes, f.Rules
	keep.Limits.Attempts, keep.Limits.OpenMessages, keep.Limits.Slots = f.Limits.Attempts, f.Limits.OpenMessages, f.Limits.Slots
	keep.Limits.RetryAfter = f.Limits.RetryAfter
	s.file = &keep
	s.log.Info("reload: partners follow the file", "partners", partners)
}
