package logic

import (
	"math"
	"slices"
)

// Quotas, and load shedding when the pending limit is near.

// quotaFactor is the fraction of its worth that a new message keeps. It is less than 1 while the tenant sends
// more than this sender's even part of its quota.
func (s *Sender) quotaFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.settings.Tenants) || s.settings.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.tenantUsage[tenant]
	u.count = u.count*math.Exp2(-seconds(s.now-u.updatedAt)/seconds(quotaHalfLife)) + 1
	u.updatedAt = s.now
	if u.count*math.Ln2/seconds(quotaHalfLife) >
		s.settings.Tenants[tenant].QuotaRPS/float64(s.settings.Senders) {
		return s.settings.OverQuotaWorth
	}
	return 1
}

// shed ends messages when the pending limit is near: those that cannot be sent in time at the present rate
// (rates and limits may recover), and the message of least priority, so that new messages are not rejected
// unseen. That message is kept if one of even lower priority has been sent in this step.
func (s *Sender) shed(sent []*message) {
	if s.pendingRatio() <= shedLateAbove {
		return
	}
	candidates := s.shedCandidates()
	for _, m := range candidates {
		rate := s.destinationRate(m.dest)
		unprotected := m.arrivalStep == s.step ||
			!m.inherited && m.deadline-s.now < Micros(protectedRemaining*float64(m.initialTime))
		if unprotected && rate > 0 && m.ahead/rate > seconds(m.deadline-s.now-s.usualLatency(m)) &&
			s.pendingRatio() > shedLateAbove {
			s.endMessage(m)
		}
	}
	if len(candidates) == 0 || s.pendingRatio() <= shedLeastAbove {
		return
	}
	lowest := candidates[len(candidates)-1]
	afterLowest := func(m *message) bool { return comparePriority(lowest, m) < 0 }
	if !lowest.mayHaveRun && !lowest.inherited && !slices.ContainsFunc(sent, afterLowest) {
		s.endMessage(lowest)
	}
}
