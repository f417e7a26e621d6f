package soak

import (
	"testing"
	"time"
)

// The judge takes a sender as informed of a drain from the time that the operators' manual gives, and reports
// calls that are sent later than the grace after that.
func TestJudgeOfDrains(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	draining := func(name string) instanceList { // generation 2, from 10 s on
		l := instanceList{Generation: 2, Instances: []instance{{ID: "other", Lifecycle: "up"}}}
		if name != "" {
			l.Instances = append(l.Instances, instance{ID: "e", Lifecycle: name})
		}
		return l
	}
	for name, x := range map[string]struct {
		records  func(r *Records)
		last     int // ms; the latest time of a call that keeps the rule
		unlisted bool
		pushed   bool
	}{
		"never informed":             {func(*Records) {}, 18050, false, false},
		"off the list":               {func(*Records) {}, 18050, true, false},
		"informed":                   {func(r *Records) { r.listWritten(0, at(10100), 2) }, 12150, false, false},
		"informed of an older list":  {func(r *Records) { r.listWritten(0, at(10100), 1) }, 18050, false, false},
		"down at the change":         {func(r *Records) { r.discoveryDown(at(9000), true); r.discoveryDown(at(13000), false) }, 21050, false, false},
		"down later":                 {func(r *Records) { r.discoveryDown(at(15000), true); r.discoveryDown(at(15500), false) }, 23550, false, false},
		"down too late":              {func(r *Records) { r.discoveryDown(at(16500), true); r.discoveryDown(at(17500), false) }, 18050, false, false},
		"a silent watch":             {func(r *Records) { r.callUnanswered(0, at(5000), 20*time.Second) }, 29050, false, false},
		"a silent check":             {func(r *Records) { r.callUnanswered(0, at(9000), time.Millisecond) }, 18050, false, false},
		"moved":                      {func(r *Records) { r.discoveryMoved(0, at(10500)) }, 16550, false, false},
		"moved before":               {func(r *Records) { r.discoveryMoved(0, at(9000)) }, 18050, false, false},
		"another sender":             {func(r *Records) { r.listWritten(1, at(10100), 2) }, 18050, false, false},
		"a new process":              {func(r *Records) { r.listWritten(0, at(10100), 2); r.processStarted(0, at(11000), 1) }, 19050, false, false},
		"started with it":            {func(r *Records) { r.processStarted(0, at(11000), 2) }, 13050, false, false},
		"an upgrade":                 {func(r *Records) { r.processTookOver(0, at(11000)) }, 19050, false, false},
		"an upgrade of an informed":  {func(r *Records) { r.listWritten(0, at(10100), 2); r.processTookOver(0, at(11000)) }, 13050, false, false},
		"an upgrade, informed later": {func(r *Records) { r.listWritten(0, at(12000), 2); r.processTookOver(0, at(11000)) }, 14050, false, false},
		"an agent":                   {func(*Records) {}, 12050, false, true},
		"an agent, down":             {func(r *Records) { r.discoveryDown(at(9000), true); r.discoveryDown(at(13000), false) }, 15050, false, true},
		"an agent, moved":            {func(r *Records) { r.discoveryMoved(0, at(9500)) }, 15550, false, true},
		"an agent's sender":          {func(r *Records) { r.processStarted(0, at(11000), 1) }, 13050, false, true},
		"an agent, silent as it starts": {func(r *Records) {
			r.processStarted(0, at(11000), 1)
			r.discoveryDown(at(11100), true)
			r.discoveryDown(at(15000), false)
		}, 17050, false, true},
		"an agent, silent later": {func(r *Records) {
			r.processStarted(0, at(11000), 1)
			r.discoveryDown(at(12100), true)
			r.discoveryDown(at(15000), false)
		}, 13050, false, true},
		"an agent, a silent watch":    {func(r *Records) { r.callUnanswered(0, at(9500), time.Second) }, 17550, false, true},
		"an agent, a long silent one": {func(r *Records) { r.callUnanswered(0, at(9500), 5*time.Second) }, 18550, false, true},
		"an agent, a silent watch and an answer": {func(r *Records) {
			r.callUnanswered(0, at(9500), time.Second)
			r.listWritten(0, at(11000), 2)
		}, 13050, false, true},
		"an agent, a call lost later":  {func(r *Records) { r.callUnanswered(0, at(10001), time.Second) }, 12050, false, true},
		"an agent, a call lost before": {func(r *Records) { r.callUnanswered(0, at(3000), time.Second) }, 12050, false, true},
		"an agent, informed late":      {func(r *Records) { r.listWritten(0, at(14000), 2) }, 12050, false, true},
	} {
		for _, late := range []bool{false, true} {
			r := newRecords()
			r.lists.pushed = x.pushed
			r.processStarted(0, at(0), 1)
			r.listPublished(at(0), instanceList{Generation: 1, Instances: []instance{{ID: "e", Lifecycle: "up"}}})
			lifecycle := "draining"
			if x.unlisted {
				lifecycle = ""
			}
			r.listPublished(at(10000), draining(lifecycle))
			x.records(r)
			sent := at(x.last)
			if late {
				sent = sent.Add(time.Millisecond)
			}
			m := &Message{ID: "m", Effect: Safe, WrittenAt: at(0), Deadline: at(60000), Answer: "+OK", AnsweredAt: at(1),
				Calls: []*Call{{At: sent, Endpoint: "e", Ran: true, Status: 200, AnsweredAt: sent}}}
			r.addMessage(m)
			if got := len(r.judge(start, repeatWindow, 0).Violations); (got > 0) != late {
				t.Errorf("%s: sent at %v, late %v: %d violations", name, sent.Sub(start), late, got)
			}
		}
	}
}
