package logic

import (
	"math"
	"slices"
)

// What of a hold that has little room is kept: quotas, and who makes room.

// shareOf is the part of its worth that a new message keeps: less while its tenant sends past its quota here,
// taking an even part of the quota for this sender.
func (s *Sender) shareOf(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.set.Tenants) || s.set.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.usage[tenant]
	u.n = u.n*math.Exp2(-seconds(s.now-u.at)/seconds(quotaHalf)) + 1
	u.at = s.now
	if u.n*math.Ln2/seconds(quotaHalf) > s.set.Tenants[tenant].QuotaRPS/float64(s.set.Senders) {
		return s.set.OverQuotaWorth
	}
	return 1
}

// shed makes room in a hold that has little: what the pace cannot send in time ends, paces and limits come
// back; and the least worthy, rather than that new messages are turned away unseen.
func (s *Sender) shed(sent []*msg) {
	if s.crowd() <= holdHalf {
		return
	}
	q := s.judged()
	for _, m := range q {
		p := s.destPace(m.dest)
		late := m.step == s.step || !m.owed && m.deadline-s.now < Micros(lateEnd*float64(m.span)) // or just come
		if late && p > 0 && m.ahead/p > seconds(m.deadline-s.now-s.usual(m)) && s.crowd() > holdHalf {
			s.end(m)
		}
	}
	if len(q) == 0 || s.crowd() <= holdFull {
		return
	}
	least := q[len(q)-1]
	behind := func(m *msg) bool { return sooner(least, m) < 0 }
	if !least.mayRun && !least.owed && !slices.ContainsFunc(sent, behind) {
		s.end(least)
	}
}
