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
	mu      sync.Mutex
	partner map[string]*counts
	begun   map[string]time.Time // when each was handed in; until its end
	by      map[string]string    // its partner
	early   map[string]sink.Line // ends that came before the answer to the hand-in
	taken   map[string]bool
	ended   map[string]int // ends told, by id
	errs    []string
}

// counts are those of one partner.
type counts struct {
	handed, refused             int
	delivered, returned, failed int
	tries                       int
	took                        []time.Duration // from hand-in to delivery
}

func newTally() *tally {
	return &tally{partner: map[string]*counts{}, begun: map[string]time.Time{}, by: map[string]string{},
		early: map[string]sink.Line{}, taken: map[string]bool{}, ended: map[string]int{}}
}

func (t *tally) of(name string) *counts {
	c := t.partner[name]
	if c == nil {
		c = &counts{}
		t.partner[name] = c
	}
	return c
}

func (t *tally) handIn(id, p string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(p).handed++
	t.begun[id], t.by[id] = time.Now(), p
}

func (t *tally) answered(id string, taken bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, fmt.Sprintf("%s: %v", id, err))
	}
	if !taken {
		t.of(t.by[id]).refused++
		delete(t.begun, id)
		return
	}
	t.taken[id] = true
	if l, ok := t.early[id]; ok {
		delete(t.early, id)
		t.count(l)
	}
}

func (t *tally) end(l sink.Line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.taken[l.ID] {
		t.early[l.ID] = l
		return
	}
	t.count(l)
}

func (t *tally) count(l sink.Line) {
	if t.ended[l.ID]++; t.ended[l.ID] > 1 {
		t.errs = append(t.errs, l.ID+" has had more than one end")
		return
	}
	c := t.of(l.Partner)
	c.tries += l.Tries
	switch l.State {
	case message.Delivered:
		c.delivered++
		c.took = append(c.took, l.Over.Sub(t.begun[l.ID]))
	case message.Returned:
		c.returned++
	case message.Failed:
		c.failed++
	}
	delete(t.begun, l.ID)
}

// open is the number of messages taken on without an end.
func (t *tally) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.begun)
}

func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum counts
	for _, c := range t.partner {
		sum.handed += c.handed
		sum.refused += c.refused
		sum.delivered += c.delivered
		sum.returned += c.returned
		sum.failed += c.failed
	}
	return fmt.Sprintf("handed in %5d  delivered %5d  returned %4d  failed %4d  refused at the door %4d  open %4d",
		sum.handed, sum.delivered, sum.returned, sum.failed, sum.refused, len(t.begun))
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
	for _, s := range scripts {
		c := t.of(s.Name)
		slices.Sort(c.took)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Name, c.handed, c.refused, c.delivered, c.returned, c.failed, c.tries,
			quantile(c.took, 0.5), quantile(c.took, 0.99))
	}
	w.Flush()
	faults := t.errs
	for id := range t.begun {
		faults = append(faults, id+" has had no end")
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
	fmt.Fprintf(out, "\nBy the partners' own records (%d calls that ran): no payment twice, no second attempt while one was out,\n"+
		"no call inside a told wait, no partner over its rate. Each message taken on had exactly one end.\n", ran)
	return nil
}
