package replicate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cometrack/internal/facts"
)

const (
	sources = 2                      // peers whose knowledge one that returns must have ...
	settle  = 300 * time.Millisecond // ... or one, if no other answers for so long
)

// fallBehind has this copy count as old until it has all that peers had who answer
// from now on.
func (m *Machine) fallBehind(now Time) {
	m.behind, m.since, m.firstAt = true, now, 0
	for _, p := range m.peers {
		p.asked, p.goal, p.done, p.askedAt = 0, nil, false, facts.Never
	}
}

// catchUp asks peers while this copy is behind: those that were heard last and are
// not behind themselves before others. One that does not answer is passed over for
// the next.
func (m *Machine) catchUp(now Time) {
	if !m.behind {
		return
	}
	var list []*peer
	asked, done := 0, 0
	for _, name := range m.order {
		p := m.peers[name]
		switch {
		case p.done:
			done++
		case p.asked != 0 && now < p.askedAt+askAgain:
			asked++
		default:
			if p.asked != 0 {
				p.asked = 0
				m.PullRetries++
			}
			list = append(list, p)
		}
	}
	switch {
	case done >= sources, done > 0 && (done == len(m.order) || now > m.firstAt+settle):
		m.behind = false
		m.out.Event = fmt.Sprintf("caught up with %d others after %v: %d facts", done, (now - m.since).Round(time.Millisecond), m.replica.Len())
		return
	case len(m.order) == 0 && now > m.since+m.cfg.CatchUpTimeout, len(m.order) > 0 && m.firstAt == 0 && m.unanswered() && now > m.since+m.cfg.CatchUpTimeout:
		m.behind = false
		m.CatchUpTimeouts++
		m.out.Event = fmt.Sprintf("nobody has answered for %v: it goes on with what it knows itself", m.cfg.CatchUpTimeout)
		return
	}
	m.rng.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	slices.SortStableFunc(list, func(a, b *peer) int {
		fresh := func(p *peer) int {
			switch {
			case now-p.heard > 3*m.cfg.DigestInterval:
				return 2
			case p.behind:
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(fresh(a), fresh(b)), cmp.Compare(a.askedAt, b.askedAt))
	})
	if asked == 0 && len(list) > 0 { // the second source is asked for what the first did not have
		m.ask(now, list[0])
	}
}

// unanswered says whether no peer has answered since this copy fell behind.
func (m *Machine) unanswered() bool {
	for _, p := range m.peers {
		if p.goal != nil {
			return false
		}
	}
	return true
}

// ask asks a peer for all that this copy lacks.
func (m *Machine) ask(now Time, p *peer) {
	m.nonce++
	p.asked, p.askedAt = m.nonce, now
	p.again = max(p.again, now+askAgain) // when to look again
	out := m.common(p)
	m.whole(out)
	out.PullRequest = m.nonce
	m.send(p, out)
}

// aim notes what a peer had when it first answered.
func (p *peer) aim(rows []facts.DigestRow) {
	p.goal = make(map[facts.Origin]uint64, len(rows))
	for _, r := range rows {
		p.goal[r.Origin] = r.Watermark
	}
}

// reached sees whether this copy has what a peer had, and asks on if not.
func (m *Machine) reached(now Time, p *peer) {
	if p.goal == nil {
		return
	}
	for id, known := range p.goal {
		if id != m.cfg.Self && m.replica.Watermark(id) < known {
			return
		}
	}
	p.done = true
	if m.firstAt == 0 {
		m.firstAt = now
	}
}
