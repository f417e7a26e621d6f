package notices

import "time"

const (
	// noticeTimeLimit is the time after the end of a message within which the platform has to have its notice.
	noticeTimeLimit = 300 * time.Millisecond
	// minHedgeDelay is the least time from a post without an answer to the next one. Four rounds fit in the
	// limit, and each has time to open a connection over a link of 15 ms.
	minHedgeDelay = 80 * time.Millisecond
	// maxHedgeDelay is the same at a slow platform. Three rounds fit in the limit.
	maxHedgeDelay = 140 * time.Millisecond
	latencyFactor = 2 // hedge delay relative to the latency of the last answer
	// slowInterval is the longest time that a notice waits for its first post. It is within the limit, so that
	// an end which comes while the platform can't be reached is told in time once it can.
	slowInterval = 250 * time.Millisecond
	maxInterval  = time.Second // between rounds of notices that have all been posted

	minRetryDelay  = 25 * time.Millisecond // after a post that failed, doubled for each further one
	maxRetryDelay  = slowInterval
	maxRetryShifts = 8 // doublings that are calculated
)

// schedule decides when the unconfirmed notices are posted: in rounds of one or two posts, which go on while
// earlier posts have no answer. Its zero value starts with a round at once.
type schedule struct {
	latency   time.Duration // of the last answered post, from when it had its connection
	rounds    int           // since the last confirmation
	failures  int           // posts that failed since the last confirmation
	startedAt time.Time     // time of the last round
	dueAt     time.Time     // time of the next round; the zero time if it is due at once
}

// restart makes a round due at once: other notices are posted now, or to another address. The latency is
// kept.
func (s *schedule) restart() { *s = schedule{latency: s.latency} }

// hedgeDelay returns the time after which a post counts as unanswered.
func (s *schedule) hedgeDelay() time.Duration {
	return min(max(latencyFactor*s.latency, minHedgeDelay), maxHedgeDelay)
}

// postCount returns the number of posts of the next round, with openCount earlier posts unanswered. The
// connection of the first post and the spare one were open together and may be silent together, so a second
// round that follows an unanswered post is made over the spare connection and over a new one.
func (s *schedule) postCount(openCount int) int {
	if s.rounds == 1 && openCount == 1 {
		return 2
	}
	return 1
}

// interval returns the time from the last round to the next one. unposted tells whether there are notices
// that no post has held.
func (s *schedule) interval(unposted bool) time.Duration {
	fastRounds := 1 + int(noticeTimeLimit/s.hedgeDelay()) // that begin within the limit
	switch {
	case s.rounds < fastRounds:
		return s.hedgeDelay()
	case unposted:
		return slowInterval
	}
	return min(slowInterval<<min(s.rounds-fastRounds, maxRetryShifts), maxInterval)
}

// roundStarted records that a round has begun, which holds all notices up to the batch limit.
func (s *schedule) roundStarted(now time.Time) {
	s.rounds++
	s.startedAt = now
	s.dueAt = now.Add(s.interval(false))
}

// noticesAdded records that there are notices that no post has held.
func (s *schedule) noticesAdded() {
	if s.rounds > 0 {
		s.advance(s.startedAt.Add(s.interval(true)))
	}
}

// postAnswered records how long the platform took to answer a post, whatever the status.
func (s *schedule) postAnswered(latency time.Duration) { s.latency = latency }

// postFailed records that a post failed, or was answered without a confirmation. The next round may come
// earlier then.
func (s *schedule) postFailed(now time.Time) {
	delay := min(minRetryDelay<<min(s.failures, maxRetryShifts), maxRetryDelay)
	s.failures++
	s.advance(now.Add(delay))
}

// advance makes the next round due at a time, unless it is due earlier.
func (s *schedule) advance(at time.Time) {
	if at.Before(s.dueAt) {
		s.dueAt = at
	}
}
