package daemon

import (
	"context"
	"log/slog"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/config"
	"cometrack/internal/core"
	"cometrack/internal/facts"
	"cometrack/internal/lifecycle"
)

// guardArgs are those with which this program is a guard.
var guardArgs = []string{"guard"}

// meet says how a sender meets the others.
func meet(f *config.File, log *slog.Logger) cluster.Options {
	c := f.Cluster
	o := cluster.Options{Name: f.Name, Zone: f.Zone, Version: Version, Listen: c.Listen, Advertise: c.Advertise, Join: c.Join, KeyFile: c.KeyFile,
		MaxSenders: f.Senders, MinShareTotal: c.Least, Lease: time.Duration(c.Lease), Interval: time.Duration(c.Lease) / config.HeartbeatsPerLease, MaxClockDrift: c.Drift,
		Dir: f.State, ShareFacts: *c.Facts, Log: log}
	if *c.Guard {
		o.GuardArgs = guardArgs
	}
	return o
}

// Version is what this program tells other senders of itself.
var Version = "unknown"

// Cluster is what the daemon knows of other senders; nil for nothing.
func (s *Standalone) Cluster() *cluster.Cluster { return s.cluster }

// part is which part of each rate and quota this daemon may use.
func (s *Standalone) part() float64 {
	if s.cluster == nil {
		return s.file.EvenShare()
	}
	return s.cluster.PlanningShare()
}

// observations is how the core hears of other senders, and they of it.
type observations struct{ *cluster.Cluster }

// Publish has the others told.
func (x observations) Publish(l core.Observation) {
	if l.RequestedWait > 0 {
		x.PublishWait(l.Partner, l.Endpoint, l.RequestedWait)
		return
	}
	x.PublishHealth(l.Partner, l.Endpoint, l.Outage, l.CausalMark)
}

// Receive hands on what the others tell.
func (x observations) Receive(ctx context.Context, take func([]core.Observation)) {
	x.Cluster.WatchObservations(ctx, func(list []facts.Observation) {
		out := make([]core.Observation, 0, len(list))
		for _, l := range list {
			out = append(out, core.Observation{Partner: l.Partner, Endpoint: l.Endpoint, RequestedWait: l.Remaining, Outage: l.OutageReported, Recovered: l.OutageEnded, TrialIntervalFactor: l.TrialSpacing, CausalMark: l.Mark})
		}
		take(out)
	})
}

// depart tells the others when this process is to end, and leaves them to the
// process that takes over from it.
func (s *Standalone) depart(work context.Context) {
	for {
		v, changed := s.life.Watch()
		switch v.State {
		case lifecycle.HandedOver:
			s.cluster.Close()
			return
		case lifecycle.Leaving:
			s.cluster.Leave()
			return
		}
		select {
		case <-changed:
		case <-work.Done():
			return
		}
	}
}
