package logic

import "math"

// The adaptive rate of each limiter: bounded by the reported limit, decreased on rejections, increased on
// successes.

// rateAvailableAt returns the time at which the limiter allows its next call, 0 for now. It does not change
// the limiter: tokens accumulate at the rate that held while messages waited, otherwise at the present one,
// no matter how often this is called.
func (s *Sender) rateAvailableAt(l *limiter) Micros {
	rate := s.effectiveRate(l)
	if rate == 0 {
		return 0
	}
	tokens := s.availableTokens(l, rate)
	if tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-tokens)/rate*float64(Second)) + 1
}

// effectiveRate is the adaptive rate in calls per second, bounded by the reported or nominal limit if there
// is one. 0 means unlimited.
func (s *Sender) effectiveRate(l *limiter) float64 {
	bound := l.limit
	if s.settings.Weights == WeightsRough && !l.limitReported {
		bound *= 1.5
	}
	if bound = min(bound, maxShareFactor*bound/float64(s.settings.Senders)); bound > 0 &&
		(l.rate == 0 || l.rate > bound) {
		return bound
	}
	return l.rate
}

// availableTokens is the number of tokens of a limiter at the given rate, up to its burst.
func (s *Sender) availableTokens(l *limiter, rate float64) float64 {
	return min(l.tokens+rate*seconds(s.now-l.refilledAt), max(1, rate*seconds(s.settings.BurstTime)))
}

// refillTokens adds the tokens that have accumulated since the last refill.
func (s *Sender) refillTokens(l *limiter) {
	if rate := s.effectiveRate(l); rate > 0 {
		l.tokens, l.refilledAt = s.availableTokens(l, rate), s.now
	}
}

// decreaseRate decreases the rate of a limiter after a rejection. The rate starts at that of the last second
// and is halved at most once a second. If an even share of the limit is under minRate, rejections are rare,
// and the rate starts at the share itself.
func (s *Sender) decreaseRate(l *limiter) {
	if s.now < l.decreasedAt+rateWindow && l.rate > 0 {
		return
	}
	switch share := s.evenShare(l); {
	case share < minRate && (l.rate == 0 || l.rate > smallShareFirstDecrease*share):
		// The smaller the share, the later this sender gets its next outcome, and the more calls of other
		// senders have been rejected in the meantime.
		l.rate = (smallShareDecrease +
			(smallShareFirstDecrease-smallShareDecrease)*min(1, share/smallShareScale)) * share
	case share < minRate:
		l.rate = max(smallShareDecrease*l.rate, smallShareMinimum*share)
	case l.rate == 0:
		l.rate = max(minRate, float64(countAfter(l.callTimes, s.now-rateWindow)))
	default:
		l.rate = max(minRate, l.rate/2)
	}
	l.decreasedAt = s.now
	s.refillTokens(l)
	// Calls of other senders were rejected too, so the next call comes up to half an interval early or late,
	// or up to one interval after a requested wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.waitUntil > s.now {
		l.refilledAt, l.tokens = l.waitUntil, l.tokens+0.5
	}
}

// evenShare is an even share of the reported limit. Without a limit, it is the demand of this sender if there
// are many senders, as their demand is about the capacity; with few senders there is no bound.
func (s *Sender) evenShare(l *limiter) float64 {
	switch {
	case l.limit > 0:
		return l.limit / float64(s.settings.Senders)
	case s.manySenders:
		return s.demand(l)
	}
	return math.Inf(1)
}

// increaseRate increases the rate of a limiter after a success, until the rate is unlimited again.
func (s *Sender) increaseRate(l *limiter) {
	if l.rate == 0 {
		return
	}
	share := s.evenShare(l)
	if share >= minRate {
		l.rate += rateIncrease * max(l.rate, min(share, l.limit))
	} else { // approach the share, more slowly the nearer it is
		l.rate += smallShareRecovery*max(0, share-l.rate) + smallShareIncrease*share
	}
	if l.rate > maxShareFactor*share ||
		share >= minRate && l.rate > unlimitedRateFactor*float64(countAfter(l.callTimes, s.now-rateWindow)+1) {
		l.rate = 0
	}
}
