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

// guardArgs are the arguments that run this program as a guard.
var guardArgs = []string{"guard"}

// clusterOptions returns the options of the cluster that a configuration describes.
func clusterOptions(f *config.File, log *slog.Logger) cluster.Options {
	c := f.Cluster
	o := cluster.Options{Name: f.Name, Zone: f.Zone, Version: Version, Listen: c.Listen, Advertise: c.Advertise,
		Join: c.Join, KeyFile: c.KeyFile, MaxSenders: f.Senders, MinShareTotal: c.Least, Lease: time.Duration(c.Lease),
		Interval: time.Duration(c.Lease) / config.HeartbeatsPerLease, MaxClockDrift: c.Drift,
		Dir: f.State, ShareFacts: *c.Facts, Log: log}
	if *c.Guard {
		o.GuardArgs = guardArgs
	}
	return o
}

// Version is the program version that is published to the peers.
var Version = "unknown"

// Cluster returns the daemon's membership in a cluster, or nil if no cluster is configured.
func (s *Standalone) Cluster() *cluster.Cluster { return s.cluster }

// currentShare returns the share of each rate and quota that this daemon may use.
func (s *Standalone) currentShare() float64 {
	if s.cluster == nil {
		return s.file.EvenShare()
	}
	return s.cluster.PlanningShare()
}

// clusterPeers implements [core.Peers] by a cluster.
type clusterPeers struct{ *cluster.Cluster }

// Publish sends an observation to the peers.
func (p clusterPeers) Publish(o core.Observation) {
	if o.RequestedWait > 0 {
		p.PublishWait(o.Partner, o.Endpoint, o.RequestedWait)
		return
	}
	p.PublishHealth(o.Partner, o.Endpoint, o.Outage, o.CausalMark)
}

// Receive passes the observations of the peers to handle until ctx is done.
func (p clusterPeers) Receive(ctx context.Context, handle func([]core.Observation)) {
	p.Cluster.WatchObservations(ctx, func(list []facts.Observation) {
		out := make([]core.Observation, 0, len(list))
		for _, o := range list {
			out = append(out, core.Observation{Partner: o.Partner, Endpoint: o.Endpoint, RequestedWait: o.Remaining,
				Outage: o.OutageReported, Recovered: o.OutageEnded, TrialIntervalFactor: o.TrialSpacing, CausalMark: o.Mark})
		}
		handle(out)
	})
}

// leaveCluster waits until this process begins to exit and then announces that to the peers. After a handover it only
// closes the cluster: the successor takes the place of this process there.
func (s *Standalone) leaveCluster(work context.Context) {
	for {
		behavior, changed := s.life.Watch()
		switch behavior.State {
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
