package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/sink"
	"cometrack/internal/standin/partner"
)

// tally counts what became of messages.
type tally struct {
	mu           sync.Mutex
	byPartner    map[string]*counts
	submittedAt  map[string]time.Time   // when each was handed in; until its end
	partnerOf    map[string]string      // its partner
	earlyNotices map[string]sink.Notice // ends that came before the answer to the hand-in
	accepted     map[string]bool
	endCount     map[string]int // ends told, by id
	errs         []string
}

// counts are those of one partner.
type counts struct {
	submitted, rejected         int
	delivered, returned, failed int
	attempts                    int
	latencies                   []time.Duration // from hand-in to delivery
}

func newTally() *tally {
	return &tally{byPartner: map[string]*counts{}, submittedAt: map[string]time.Time{}, partnerOf: map[string]string{},
		earlyNotices: map[string]sink.Notice{}, accepted: map[string]bool{}, endCount: map[string]int{}}
}

func (t *tally) countsFor(name string) *counts {
	c := t.byPartner[name]
	if c == nil {
		c = &counts{}
		t.byPartner[name] = c
	}
	return c
}

func (t *tally) recordSubmission(id, p string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countsFor(p).submitted++
	t.submittedAt[id], t.partnerOf[id] = time.Now(), p
}

func (t *tally) recordReply(id string, taken bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, fmt.Sprintf("%s: %v", id, err))
	}
	if !taken {
		t.countsFor(t.partnerOf[id]).rejected++
		delete(t.submittedAt, id)
		return
	}
	t.accepted[id] = true
	if l, ok := t.earlyNotices[id]; ok {
		delete(t.earlyNotices, id)
		t.count(l)
	}
}

func (t *tally) recordEnd(l sink.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.accepted[l.ID] {
		t.earlyNotices[l.ID] = l
		return
	}
	t.count(l)
}

func (t *tally) count(l sink.Notice) {
	if t.endCount[l.ID]++; t.endCount[l.ID] > 1 {
		t.errs = append(t.errs, l.ID+" has had more than one end")
		return
	}
	c := t.countsFor(l.Partner)
	c.attempts += l.Attempts
	switch l.State {
	case message.Delivered:
		c.delivered++
		c.latencies = append(c.latencies, l.EndedAt.Sub(t.submittedAt[l.ID]))
	case message.Returned:
		c.returned++
	case message.Failed:
		c.failed++
	}
	delete(t.submittedAt, l.ID)
}

// pending is the number of messages taken on without an end.
func (t *tally) pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.submittedAt)
}

func (t *tally) progressLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum counts
	for _, c := range t.byPartner {
		sum.submitted += c.submitted
		sum.rejected += c.rejected
		sum.delivered += c.delivered
		sum.returned += c.returned
		sum.failed += c.failed
	}
	return fmt.Sprintf("handed in %5d  delivered %5d  returned %4d  failed %4d  refused at the door %4d  open %4d",
		sum.submitted, sum.delivered, sum.returned, sum.failed, sum.rejected, len(t.submittedAt))
}

// quantile of sorted spans.
func quantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond).String()
}

// report prints the table and what the partners' own records say.
func (t *tally) report(out io.Writer, partners []*partner.Partner) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\npartner\thanded in\trefused\tdelivered\treturned\tfailed\ttries\tp50\tp99\t\n")
	for _, s := range partnerScripts {
		c := t.countsFor(s.Name)
		slices.Sort(c.latencies)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Name, c.submitted, c.rejected, c.delivered, c.returned, c.failed, c.attempts,
			quantile(c.latencies, 0.5), quantile(c.latencies, 0.99))
	}
	w.Flush()
	faults := t.errs
	for id := range t.submittedAt {
		faults = append(faults, id+" has had no end")
	}
	ran := 0
	for _, p := range partners {
		faults = append(faults, p.Faults(func(id string) bool { return strings.Contains(id, "-payment-") })...)
		for _, c := range p.Calls() {
			if c.Ran {
				ran++
			}
		}
	}
	if len(faults) > 0 {
		slices.Sort(faults)
		return fmt.Errorf("%d faults, the first: %s", len(faults), strings.Join(faults[:min(len(faults), 5)], "; "))
	}
	fmt.Fprintf(out, "\nBy the partners' own records (%d calls that ran): no payment twice, no second attempt while one was out,\n"+
		"no call inside a told wait, no partner over its rate. Each message taken on had exactly one end.\n", ran)
	return nil
}
