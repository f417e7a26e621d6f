package replicate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cometrack/internal/facts"
)

const (
	catchUpSources      = 2                      // peers whose knowledge one that returns must have ...
	secondSourceTimeout = 300 * time.Millisecond // ... or one, if no other answers for so long
)

// startCatchUp has this copy count as old until it has all that peers had who answer
// from now on.
func (m *Machine) startCatchUp(now Time) {
	m.catchingUp, m.catchUpStart, m.firstCaughtUpAt = true, now, 0
	for _, p := range m.peers {
		p.pullRequest, p.target, p.caughtUp, p.pulledAt = 0, nil, false, facts.Never
	}
}

// catchUp asks peers while this copy is behind: those that were heard last and are
// not behind themselves before others. One that does not answer is passed over for
// the next.
func (m *Machine) catchUp(now Time) {
	if !m.catchingUp {
		return
	}
	var list []*peer
	asked, done := 0, 0
	for _, name := range m.order {
		p := m.peers[name]
		switch {
		case p.caughtUp:
			done++
		case p.pullRequest != 0 && now < p.pulledAt+pullTimeout:
			asked++
		default:
			if p.pullRequest != 0 {
				p.pullRequest = 0
				m.PullRetries++
			}
			list = append(list, p)
		}
	}
	switch {
	case done >= catchUpSources, done > 0 && (done == len(m.order) || now > m.firstCaughtUpAt+secondSourceTimeout):
		m.catchingUp = false
		m.ready.Event = fmt.Sprintf("caught up with %d others after %v: %d facts", done, (now - m.catchUpStart).Round(time.Millisecond), m.replica.Len())
		return
	case len(m.order) == 0 && now > m.catchUpStart+m.cfg.CatchUpTimeout, len(m.order) > 0 && m.firstCaughtUpAt == 0 && m.unanswered() && now > m.catchUpStart+m.cfg.CatchUpTimeout:
		m.catchingUp = false
		m.CatchUpTimeouts++
		m.ready.Event = fmt.Sprintf("nobody has answered for %v: it goes on with what it knows itself", m.cfg.CatchUpTimeout)
		return
	}
	m.rng.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(a, b *peer) int {
		fresh := func(p *peer) int {
			switch {
			case now-p.receivedAt > 3*m.cfg.DigestInterval:
				return 2
			case p.catchingUp:
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(fresh(a), fresh(b)), cmp.Compare(a.pulledAt, b.pulledAt))
	})
	if asked == 0 && len(list) > 0 { // the second source is asked for what the first did not have
		m.pull(now, list[0])
	}
}

// unanswered says whether no peer has answered since this copy fell behind.
func (m *Machine) unanswered() bool {
	for _, p := range m.peers {
		if p.target != nil {
			return false
		}
	}
	return true
}

// pull asks a peer for all that this copy lacks.
func (m *Machine) pull(now Time, p *peer) {
	m.lastPullRequest++
	p.pullRequest, p.pulledAt = m.lastPullRequest, now
	p.resendAt = max(p.resendAt, now+pullTimeout) // when to look again
	out := m.newMessage(p)
	m.addDigest(out)
	out.PullRequest = m.lastPullRequest
	m.send(p, out)
}

// setTarget notes what a peer had when it first answered.
func (p *peer) setTarget(rows []facts.DigestRow) {
	p.target = make(map[facts.Origin]uint64, len(rows))
	for _, r := range rows {
		p.target[r.Origin] = r.Watermark
	}
}

// checkTarget sees whether this copy has what a peer had, and asks on if not.
func (m *Machine) checkTarget(now Time, p *peer) {
	if p.target == nil {
		return
	}
	for id, known := range p.target {
		if id != m.cfg.Self && m.replica.Watermark(id) < known {
			return
		}
	}
	p.caughtUp = true
	if m.firstCaughtUpAt == 0 {
		m.firstCaughtUpAt = now
	}
}
