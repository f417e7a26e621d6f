package replicate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cometrack/internal/facts"
)

const (
	// catchUpSources is the number of peers that a replica must catch up with before it counts as caught up.
	catchUpSources = 2
	// secondSourceTimeout is the time after the replica has caught up with the first peer from which on that one is
	// enough.
	secondSourceTimeout = 300 * time.Millisecond
)

// startCatchUp makes this replica count as catching up until it has all facts of the peers
// that answer from now on.
func (m *Machine) startCatchUp(now Time) {
	m.catchingUp, m.catchUpStart, m.firstCaughtUpAt = true, now, 0
	for _, p := range m.peers {
		p.pullRequest, p.target, p.caughtUp, p.pulledAt = 0, nil, false, facts.Never
	}
}

// catchUp pulls from one peer after another while this replica is catching up. It prefers
// peers that sent a message recently and are not catching up themselves, and goes on to the
// next peer if one does not answer in time. Catching up ends with enough peers, or when none
// answers within the timeout.
func (m *Machine) catchUp(now Time) {
	if !m.catchingUp {
		return
	}
	var candidates []*peer
	pulling, caughtUp := 0, 0
	for _, name := range m.order {
		p := m.peers[name]
		switch {
		case p.caughtUp:
			caughtUp++
		case p.pullRequest != 0 && now < p.pulledAt+pullTimeout:
			pulling++
		default:
			if p.pullRequest != 0 {
				p.pullRequest = 0
				m.PullRetries++
			}
			candidates = append(candidates, p)
		}
	}
	switch {
	case caughtUp >= catchUpSources,
		caughtUp > 0 && (caughtUp == len(m.order) || now > m.firstCaughtUpAt+secondSourceTimeout):
		m.catchingUp = false
		m.ready.Event = fmt.Sprintf("caught up with %d others after %v: %d facts", caughtUp,
			(now - m.catchUpStart).Round(time.Millisecond), m.replica.Len())
		return
	case len(m.order) == 0 && now > m.catchUpStart+m.cfg.CatchUpTimeout,
		len(m.order) > 0 && m.firstCaughtUpAt == 0 && m.unanswered() && now > m.catchUpStart+m.cfg.CatchUpTimeout:
		m.catchingUp = false
		m.CatchUpTimeouts++
		m.ready.Event = fmt.Sprintf("nobody has answered for %v: it goes on with what it knows itself", m.cfg.CatchUpTimeout)
		return
	}
	m.rng.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *peer) int {
		rank := func(p *peer) int { // the lowest is preferred
			switch {
			case now-p.receivedAt > 3*m.cfg.DigestInterval:
				return 2
			case p.catchingUp:
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.pulledAt, b.pulledAt))
	})
	if pulling == 0 && len(candidates) > 0 { // one at a time: the second sends only what the first did not have
		m.pull(now, candidates[0])
	}
}

// unanswered reports whether no peer has answered since this replica began to catch up.
func (m *Machine) unanswered() bool {
	for _, p := range m.peers {
		if p.target != nil {
			return false
		}
	}
	return true
}

// pull requests from a peer all facts that this replica lacks.
func (m *Machine) pull(now Time, p *peer) {
	m.lastPullRequest++
	p.pullRequest, p.pulledAt = m.lastPullRequest, now
	p.resendAt = max(p.resendAt, now+pullTimeout) // NextTick wakes up for the timeout
	msg := m.newMessage(p)
	m.addDigest(msg)
	msg.PullRequest = m.lastPullRequest
	m.send(p, msg)
}

// setTarget records the watermarks in the peer's first answer, which this replica must
// reach.
func (p *peer) setTarget(rows []facts.DigestRow) {
	p.target = make(map[facts.Origin]uint64, len(rows))
	for _, row := range rows {
		p.target[row.Origin] = row.Watermark
	}
}

// checkTarget records whether this replica has reached the watermarks of a peer's first
// answer.
func (m *Machine) checkTarget(now Time, p *peer) {
	if p.target == nil {
		return
	}
	for id, watermark := range p.target {
		if id != m.cfg.Self && m.replica.Watermark(id) < watermark {
			return
		}
	}
	p.caughtUp = true
	if m.firstCaughtUpAt == 0 {
		m.firstCaughtUpAt = now
	}
}
