package logic

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pgregory.net/rapid"
)

// ---- The sort as reference -----------------------------------------------------------

// stepBySort is Step without the index: it computes the priority of all pending messages, sorts them, and
// checks each for expiry. Comments mark the intended differences from the index. Among equals the oldest
// comes first.
func (s *Sender) stepBySort(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.wakeAt = nil, never
	for _, ev := range events {
		s.handle(ev)
	}
	s.requestList()
	s.cleanup()
	for _, m := range s.allMessages() {
		if m.ended || m.streaming {
			continue
		}
		left, need := m.deadline-s.now, 2*max(s.settings.Tick, 1000)
		if m.inFlight == nil {
			need = max(need, s.usualLatency(m), minRemaining)
			if m.mayHaveRun && m.class.Effect == Keyed {
				left = min(left, m.mayHaveRunAt+m.class.Window-s.now)
			}
		}
		if left <= need {
			s.endMessage(m)
		}
	}
	for _, g := range s.fireTimers() {
		s.updateExpiry(g)
	}
	s.cancelSlowAttempts()
	s.dispatchBySort()
	s.active, s.arrivals = s.active[:0], s.arrivals[:0]
	s.armTimer()
	return s.actions
}

func (s *Sender) allMessages() (q []*message) {
	for _, m := range s.messages {
		q = append(q, m)
	}
	slices.SortFunc(q, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	return q
}

func (s *Sender) dispatchBySort() {
	var q []*message
	for _, m := range s.allMessages() {
		if m.inFlight == nil && !m.ended {
			m.dest.load = float64(1 + m.dest.limiter.inFlight)
			m.priority = s.priority(m)
			m.dest.rank = 0
			q = append(q, m)
		}
	}
	slices.SortFunc(q, comparePriority)
	for _, m := range q {
		// A message with less time left than the minimum latency is not started. Before the index, the sort
		// put it last.
		if (m.inherited || s.now+max(s.usualLatency(m), minUsualLatency) <= m.deadline) && s.trySend(m) {
			s.dequeue(m)
		}
	}
	// Load is shed after all messages have been considered. Before the index, it was shed between messages.
	for i, m := range q {
		if m.inFlight != nil {
			continue
		}
		m.dest.rank++
		rate := s.destinationRate(m.dest)
		unprotected := m.arrivalStep == s.step || !m.inherited &&
			m.deadline-s.now < Micros(protectedRemaining*float64(m.initialTime))
		if unprotected && rate > 0 && m.dest.rank/rate > seconds(m.deadline-s.now-s.usualLatency(m)) &&
			s.pendingRatio() > shedLateAbove {
			s.endMessage(m)
			continue
		}
		if s.pendingRatio() > shedLeastAbove && i >= len(q)-1 && !m.mayHaveRun && !m.inherited {
			s.endMessage(m)
		}
	}
}

// compareActions compares the actions of two Senders: attempts in their order, ends as a set (the index sheds load
// after it has sent).
func (w *world) compareActions(a, b []Action) {
	w.t.Helper()
	pick := func(acts []Action) (calls, others []string) {
		for _, x := range acts {
			switch x.(type) {
			case StartAttempt:
				calls = append(calls, fmt.Sprintf("%#v", x))
			case SetTimer: // the index may visit earlier, or later where nothing could be sent
			default:
				others = append(others, fmt.Sprintf("%#v", x))
			}
		}
		slices.Sort(others)
		return calls, others
	}
	callsA, othersA := pick(a)
	callsB, othersB := pick(b)
	if !slices.Equal(callsA, callsB) || !slices.Equal(othersA, othersB) {
		w.fail("the index does\n%v %v\nthe sort\n%v %v", callsA, othersA, callsB, othersB)
	}
}

// compareIndexWithSort simulates a day with a Sender that uses the index and one that uses the sort.
func compareIndexWithSort(t *testing.T, set Settings, seed uint64) {
	set.TrackChanges = seed%3 == 1
	w := newWorld(t, set, 100+seed)
	w.restarts, w.upgrades, w.everyTick = seed%3 == 1, seed%3 == 2, true
	w.meanGap = []int{0, 30, 12}[seed/3%3]
	w.twin = &Sender{}
	w.replaceSender()
	w.play()
}

// The index and the sort make the same decisions in each step of random plays, over restarts and upgrades,
// with few pending messages and with more than the pending limit. PLAYS sets the number of further plays.
func TestIndexMatchesSort(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("PLAYS"))
	i := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(variants())) {
		i++
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			compareIndexWithSort(t, variants()[name], i%6)
			for seed := range uint64(more) {
				compareIndexWithSort(t, variants()[name], 6+seed)
			}
		})
	}
}

// ---- The order -----------------------------------------------------------------------

// drawSender creates a Sender with random destinations, classes and messages of all ages.
func drawSender(t *rapid.T) *Sender {
	set := base()
	set.ExponentialDecay, set.MaxOpen = rapid.Bool().Draw(t, "halves"), 0
	span := func(name string, limit Micros) Micros { return Micros(rapid.Int64Range(0, int64(limit)).Draw(t, name)) }
	for i := range set.Classes {
		c := &set.Classes[i]
		c.Aim = span("aim", 5*Second)
		c.Deadline = c.Aim + 1 + span("late", 20*Second)
		c.LateWorth = rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "late worth")
		c.Worth = rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "worth")
		c.Window = 30 * Second
	}
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, nil)
	n := 0
	for range rapid.IntRange(1, 4).Draw(t, "times") {
		var evs []Event
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			n++
			class := rapid.IntRange(0, 2).Draw(t, "class")
			evs = append(evs, NewMessage{ID: fmt.Sprint(n), Dest: int64(rapid.IntRange(1, 2).Draw(t, "dest")),
				Tenant: -1, Class: class,
				Remaining: Second/2 + span("left", 3*set.Classes[class].Deadline),
				History:   History{Inherited: rapid.IntRange(0, 5).Draw(t, "held") == 0}})
		}
		s.Step(s.now+span("pause", 4*Second), evs)
		for _, m := range s.allMessages() { // some may have run
			if m.class.Effect == Keyed && m.group != nil && rapid.IntRange(0, 5).Draw(t, "may run") == 0 {
				s.dequeue(m)
				m.mayHaveRun, m.mayHaveRunAt, m.inherited = true, s.now, false
				s.enqueue(m)
			}
		}
		for _, d := range s.destinationOrder {
			if rapid.Bool().Draw(t, "learnt") {
				for range 6 {
					d.latencies.add(s.now, 1000+span("took", 3*Second), false)
				}
				s.updateExpiries(d)
			}
		}
	}
	s.step++
	return s
}

// cursorOrder returns the queued messages in the order of all cursors together.
func (s *Sender) cursorOrder() (out []*message) {
	var cursors cursorHeap
	for _, d := range s.destinationOrder {
		d.load, d.visitedStep = float64(1+d.limiter.inFlight), s.step
		for _, g := range d.groups {
			cursors = s.appendCursors(cursors, g)
		}
	}
	heap.Init(&cursors)
	for len(cursors) > 0 {
		out = append(out, cursors[0].msg)
		if s.advance(cursors[0]); cursors[0].msg == nil {
			heap.Pop(&cursors)
		} else {
			heap.Fix(&cursors, 0)
		}
	}
	return out
}

// The cursors return all queued messages in order of priority.
func TestCursorsFollowPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSender(t)
		got := s.cursorOrder()
		var want []*message
		for _, m := range s.allMessages() {
			if m.group != nil && (m.inherited || s.now+max(s.usualLatency(m), minUsualLatency) <= m.deadline) {
				m.priority = s.priority(m)
				want = append(want, m)
			}
		}
		slices.SortFunc(want, comparePriority)
		if len(got) != len(want) {
			t.Fatalf("%d messages of %d", len(got), len(want))
		}
		for i, m := range got {
			// Two messages whose priorities differ only by rounding may change places.
			if x := want[i]; m != x && math.Abs(m.priority-x.priority) > 1e-9*math.Abs(x.priority) {
				t.Fatalf("at %d: %s of priority %g, want %s of priority %g", i, m.id, m.priority, x.id, x.priority)
			} else if m != x && m.priority == x.priority && x.priority > 1e-290 {
				t.Fatalf("at %d: %s, want %s of the same priority", i, m.id, x.id)
			}
		}
	})
}

// ---- The structures ------------------------------------------------------------------

func TestSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l sortedList
		var plain []item
		seq := 0
		span := rapid.SampledFrom([]int64{3, 1000, 1 << 40}).Draw(t, "span")
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(0, 1200).Draw(t, "in") {
				seq++
				x := item{Micros((int64(seq)*2654435761)%span) +
					Micros(rapid.SampledFrom([]int64{0, 1}).Draw(t, "more")), &message{seq: seq}}
				l.insert(x)
				plain = append(plain, x)
			}
			for range rapid.IntRange(0, len(plain)).Draw(t, "out") {
				i := (seq * 40503) % len(plain)
				seq++
				l.remove(plain[i])
				plain = slices.Delete(plain, i, i+1)
			}
		}
		slices.SortFunc(plain, func(a, b item) int {
			return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.msg.seq, b.msg.seq))
		})
		i := 0
		for p := (position{}); ; p = l.next(p) {
			x, ok := l.get(p)
			if !ok {
				break
			}
			if i >= len(plain) || x != plain[i] || l.index(p) != i {
				t.Fatalf("at %d of %d", i, len(plain))
			}
			i++
		}
		if i != len(plain) || l.size != i {
			t.Fatalf("%d of %d", i, len(plain))
		}
	})
}

func TestTimersFireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		all := make([]timer, rapid.IntRange(1, 60).Draw(t, "alarms"))
		expected := map[*timer]Micros{}
		for range rapid.IntRange(1, 300).Draw(t, "changes") {
			a := &all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			at := Micros(rapid.Int64Range(0, 50).Draw(t, "at"))
			if at == 0 {
				h.set(a, never)
				delete(expected, a)
			} else {
				h.set(a, at)
				expected[a] = at
			}
		}
		last := Micros(0)
		for a := h.popDue(100); a != nil; a = h.popDue(100) {
			if expected[a] != a.at || a.at < last || a.heapIndex != 0 {
				t.Fatalf("%d after %d, want %d", a.at, last, expected[a])
			}
			last = a.at
			delete(expected, a)
		}
		if len(expected) > 0 || h.nextAt() != never {
			t.Fatalf("%d left", len(expected))
		}
	})
}

// ---- Cost ----------------------------------------------------------------------------

// threadTime is the processor time of this thread, which excludes other load on the machine.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// Messages that a restart submits at once are considered for load shedding once each, also where they reach
// the pending limit: four times as many must not take sixteen times as long.
func TestRestartAtPendingLimit(t *testing.T) {
	took := func(n int) time.Duration {
		best := time.Hour
		for range 3 {
			set := base()
			set.MaxOpen = n + n/10
			s, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			evs := []Event{list(1), RequestedWait{Endpoint: 1, Remaining: 5 * Second}}
			for i := range n {
				evs = append(evs, NewMessage{ID: fmt.Sprint(i), Remaining: 9*Second + Micros(i), Dest: 9, Tenant: -1,
					History: History{Inherited: true}})
			}
			start := threadTime(t)
			s.Step(0, evs)
			best = min(best, threadTime(t)-start)
		}
		return best
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if few, many := took(8_000), took(32_000); many > 9*few {
		t.Errorf("8,000 take %v, 32,000 %v", few, many)
	}
}
