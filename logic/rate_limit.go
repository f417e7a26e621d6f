package logic

import "math"

// The pace of each lane: bounded by told limits, set by refusals, creeping back on success.

// paced says when the lane may take its next call. Asking changes nothing: what it has saved up counts by the
// pace that held while messages waited, else by the present one, however often somebody has asked.
func (s *Sender) paced(l *lane) Micros {
	r := s.rateOf(l)
	if r == 0 {
		return 0
	}
	tokens := s.saved(l, r)
	if tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-tokens)/r*float64(Second)) + 1
}

// rateOf is a lane's pace; where a limit is told, it bounds the pace from the start. 0 is free.
func (s *Sender) rateOf(l *lane) float64 {
	lim := l.limit
	if s.set.Weights == WeightsRough && !l.told {
		lim *= 1.5
	}
	if lim = min(lim, shareMost*lim/float64(s.set.Senders)); lim > 0 && (l.pace == 0 || l.pace > lim) {
		return lim
	}
	return l.pace
}

func (s *Sender) saved(l *lane, r float64) float64 {
	return min(l.tokens+r*seconds(s.now-l.filled), max(1, r*seconds(s.set.BurstTime)))
}

// settle books what a lane has saved up.
func (s *Sender) settle(l *lane) {
	if r := s.rateOf(l); r > 0 {
		l.tokens, l.filled = s.saved(l, r), s.now
	}
}

// refused slows a lane: its pace starts at the last second's rate and halves at most once a second. Where an
// even share of the limit is under the floor (thin), refusals are rare and a pace starts at the share itself.
func (s *Sender) refused(l *lane) {
	if s.now < l.halved+paceSpan && l.pace > 0 {
		return
	}
	switch share := s.share(l); {
	case share < paceFloor && (l.pace == 0 || l.pace > shareFull*share):
		// The thinner, the later this sender learns more, and the more have been refused beside it unseen.
		l.pace = (shareDown + (shareFull-shareDown)*min(1, share/shareHalf)) * share
	case share < paceFloor:
		l.pace = max(shareDown*l.pace, shareLow*share)
	case l.pace == 0:
		l.pace = max(paceFloor, float64(since(l.sent, s.now-paceSpan)))
	default:
		l.pace = max(paceFloor, l.pace/2)
	}
	l.halved = s.now
	s.settle(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if l.until > s.now {
		l.filled, l.tokens = l.until, l.tokens+0.5
	}
}

// share is an even part of a limit that is told. Without one, among many senders it is what our messages ask
// for, as all ask for about what there is; among few there is no bound to it.
func (s *Sender) share(l *lane) float64 {
	switch {
	case l.limit > 0:
		return l.limit / float64(s.set.Senders)
	case s.many:
		return s.asked(l)
	}
	return math.Inf(1)
}

func (s *Sender) creep(l *lane) {
	if l.pace == 0 {
		return
	}
	share := s.share(l)
	if share >= paceFloor {
		l.pace += paceCreep * max(l.pace, min(share, l.limit))
	} else { // back to what is ours, the slower the nearer
		l.pace += shareBack*max(0, share-l.pace) + shareOver*share
	}
	if l.pace > shareMost*share ||
		share >= paceFloor && l.pace > paceFree*float64(since(l.sent, s.now-paceSpan)+1) {
		l.pace = 0
	}
}
