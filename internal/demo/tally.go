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

// tally counts submitted messages and their ends.
type tally struct {
	mu           sync.Mutex
	byPartner    map[string]*counts
	submittedAt  map[string]time.Time   // by id, from submission to the end
	partnerOf    map[string]string      // by id
	earlyNotices map[string]sink.Notice // ends that arrived before the reply to the submission
	accepted     map[string]bool        // by id
	endCount     map[string]int         // notices, by id
	errs         []string
}

// counts are the counters of one partner.
type counts struct {
	submitted, rejected         int
	delivered, returned, failed int
	attempts                    int
	latencies                   []time.Duration // from submission to delivery
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

// recordReply counts the reply to a submission, and the end that arrived before it.
func (t *tally) recordReply(id string, accepted bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, fmt.Sprintf("%s: %v", id, err))
	}
	if !accepted {
		t.countsFor(t.partnerOf[id]).rejected++
		delete(t.submittedAt, id)
		return
	}
	t.accepted[id] = true
	if notice, ok := t.earlyNotices[id]; ok {
		delete(t.earlyNotices, id)
		t.count(notice)
	}
}

// recordEnd counts the end of an accepted message. An end that arrives before the
// reply to its submission is counted with the reply.
func (t *tally) recordEnd(notice sink.Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.accepted[notice.ID] {
		t.earlyNotices[notice.ID] = notice
		return
	}
	t.count(notice)
}

func (t *tally) count(notice sink.Notice) {
	if t.endCount[notice.ID]++; t.endCount[notice.ID] > 1 {
		t.errs = append(t.errs, notice.ID+" has more than one end")
		return
	}
	c := t.countsFor(notice.Partner)
	c.attempts += notice.Attempts
	switch notice.State {
	case message.Delivered:
		c.delivered++
		c.latencies = append(c.latencies, notice.EndedAt.Sub(t.submittedAt[notice.ID]))
	case message.Returned:
		c.returned++
	case message.Failed:
		c.failed++
	}
	delete(t.submittedAt, notice.ID)
}

// pending returns the number of messages that are submitted, not rejected and not ended.
func (t *tally) pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.submittedAt)
}

// progressLine returns the counters of all partners as one line of text.
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
	return fmt.Sprintf("submitted %5d  delivered %5d  returned %4d  failed %4d  rejected %4d  pending %4d",
		sum.submitted, sum.delivered, sum.returned, sum.failed, sum.rejected, len(t.submittedAt))
}

// quantile returns the q-quantile of sorted durations as text, or "-" without any.
func quantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond).String()
}

// report prints the table of counters, and checks the records of the partners for
// broken rules. It returns an error that lists the first five faults.
func (t *tally) report(out io.Writer, partners []*partner.Partner) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\npartner\tsubmitted\trejected\tdelivered\treturned\tfailed\tattempts\tp50\tp99\t\n")
	for _, s := range partnerScripts {
		c := t.countsFor(s.Name)
		slices.Sort(c.latencies)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Name,
			c.submitted, c.rejected, c.delivered, c.returned, c.failed, c.attempts,
			quantile(c.latencies, 0.5), quantile(c.latencies, 0.99))
	}
	w.Flush()
	faults := t.errs
	for id := range t.submittedAt {
		faults = append(faults, id+" has no end")
	}
	ran := 0
	for _, p := range partners {
		faults = append(faults, p.Violations(func(id string) bool { return strings.Contains(id, "-payment-") })...)
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
	fmt.Fprintf(out, "\nThe partners' records (%d calls that ran): no payment ran twice, no message had two attempts in flight,\n"+
		"no call came in a requested wait or above a rate. Each accepted message had exactly one end.\n", ran)
	return nil
}
