package load

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawPhase(t *rapid.T) Phase {
	p := Phase{Name: "p", Shape: rapid.SampledFrom([]Shape{Constant, Ramp, Step, Wave, Spike}).Draw(t, "shape"),
		Spacing: rapid.SampledFrom([]Spacing{Even, Poisson}).Draw(t, "spacing"),
		For:     Duration(rapid.IntRange(1, 5000).Draw(t, "for")) * Duration(time.Millisecond),
		Rate:    rapid.Float64Range(0.5, 500).Draw(t, "rate"), To: rapid.Float64Range(0.5, 500).Draw(t, "to"),
		Steps: rapid.IntRange(2, 9).Draw(t, "steps"), Period: Duration(rapid.IntRange(1, 4000).Draw(t, "period")) * Duration(time.Millisecond)}
	switch p.Shape {
	case Wave:
		p.To = min(p.To, p.Rate)
	case Spike:
		p.To += p.Rate
	}
	return p
}

// For every shape, due is the integral of the rate and timeOf is the inverse of due.
func TestCurves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPhase(t)
		if err := p.check(); err != nil {
			t.Fatal(err)
		}
		c := p.curve()
		const parts = 20_000
		sum, maxError := 0.0, 0.0
		for i := range parts {
			if i%100 == 0 {
				maxError = max(maxError, math.Abs(c.due(float64(i)/parts*c.span)-sum))
			}
			sum += c.rate((float64(i)+0.5)/parts*c.span) * c.span / parts
		}
		total := max(c.from, c.to) * c.span
		if maxError > 1e-3*total+1e-6 {
			t.Fatalf("%+v: due and rate differ by %g of %g", p, maxError, total)
		}
		n := rapid.Float64Range(0, 1).Draw(t, "n") * c.due(c.span)
		if at := c.timeOf(n); math.Abs(c.due(at)-n) > 1e-6*max(1, n) {
			t.Fatalf("%+v: %g are due at %g, want %g", p, c.due(at), at, n)
		}
	})
}

// newScenario returns a scenario with the phases and two kinds of messages.
func newScenario(phases ...Phase) *Scenario {
	s := &Scenario{Seed: 7, Phases: phases, Mix: []Kind{{Weight: 3, Class: "safe", Partners: []string{"a", "b"}, Front: "http"}, {Class: "unsafe", Partners: []string{"c"}, Order: 4, Front: "http"}}}
	s.defaults()
	return s
}

// allMessages returns all messages of a scenario's plan.
func allMessages(s *Scenario) (out []Message) {
	p := s.Plan()
	for m, ok := p.Next(); ok; m, ok = p.Next() {
		out = append(out, m)
	}
	return out
}

// A plan is in order, has as many messages as its rates and bursts give, and is the same for
// the same seed.
func TestPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(drawPhase(t), drawPhase(t))
		s.Phases[1].Name = "q"
		s.Phases[0].Burst, s.Phases[0].Every = rapid.IntRange(0, 5).Draw(t, "burst"), Duration(700*time.Millisecond)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		list := allMessages(s)
		for i, p := range s.Phases {
			got, want := 0, p.curve().due(p.curve().span)
			start := time.Duration(0)
			if i > 0 {
				start = time.Duration(s.Phases[0].For)
			}
			for _, m := range list {
				if m.Phase == i {
					if got++; m.Due < start || m.Due > start+time.Duration(p.For) {
						t.Fatalf("message %d of phase %d is due at %v", m.Number, i, m.Due)
					}
				}
			}
			slack := 1.0
			if p.Spacing == Poisson {
				slack += 6 * math.Sqrt(want)
			}
			if p.Burst > 0 {
				want += float64(p.Burst) * math.Floor((p.For.Seconds()-1e-9)/0.7)
			}
			if math.Abs(float64(got)-want) > slack {
				t.Fatalf("phase %d %+v: %d messages, want %.1f", i, p, got, want)
			}
		}
		if !slices.IsSortedFunc(list, func(a, b Message) int { return int(a.Due - b.Due) }) || !slices.Equal(list, allMessages(s)) {
			t.Fatal("not in order, or not the same twice")
		}
	})
}

// All messages of a burst are due at the same time, and the kinds are mixed by their weights.
func TestBurstAndMix(t *testing.T) {
	s := newScenario(Phase{For: Duration(10 * time.Second), Rate: 1000, Burst: 50, Every: Duration(3 * time.Second)})
	at, mix := map[time.Duration]int{}, map[string]int{}
	for _, m := range allMessages(s) {
		at[m.Due]++
		mix[fmt.Sprintf("%d %s %v", m.Kind, m.Partner, m.OrderKey >= 0)]++
	}
	for _, sec := range []time.Duration{3, 6, 9} {
		if at[sec*time.Second] != 50 {
			t.Errorf("%d at %d s, want 50", at[sec*time.Second], sec)
		}
	}
	for k, want := range map[string]int{"0 a false": 3806, "0 b false": 3806, "1 c true": 2538} {
		if got := mix[k]; math.Abs(float64(got-want)) > 200 {
			t.Errorf("%q: %d, want about %d of %v", k, got, want, mix)
		}
	}
}

// Errors of invalid scenarios have the field or the line.
func TestScenarioErrors(t *testing.T) {
	const good = "[[mix]]\nclass = \"safe\"\npartners = [\"a\"]\nleft=\"5s\"\n"
	for text, want := range map[string]string{
		"":                                    "phase: there is none",
		"[[phase]]\nfor = \"1s\"\nrate = 5\n": "mix: there is none",
		good + "[[phase]]\nfor = \"1x\"\nrate = 5":                                                        "line 6",
		good + "[[phase]]\nfor = \"1s\"\nrat = 5":                                                         "line 7: unknown field phase.rat",
		good + "[[phase]]\nfor = \"1s\"":                                                                  "phase[0].rate: not above 0",
		good + "[[phase]]\nfor = \"1s\"\nrate = 5\nshape = \"saw\"":                                       "phase[0].shape",
		good + "[[phase]]\nfor = \"1s\"\nrate = 5\nshape = \"spike\"\nto = 4":                             "phase[0].to",
		good + "[[phase]]\nfor = \"1s\"\nrate = 5\nshape = \"wave\"\nto = 6":                              "phase[0].to",
		good + "[[phase]]\nfor = \"1s\"\nrate = 5\nshape = \"step\"\nto = 6":                              "phase[0].steps",
		good + "[[phase]]\nfor = \"1s\"\nrate = 5\nburst = 6":                                             "phase[0].every",
		good + "[[phase]]\nfor = \"1s\"\nrate = nan":                                                      "phase[0].rate",
		good + "[[phase]]\nname=\"x\"\nfor = \"1s\"\nrate = 5\n[[phase]]\nname=\"x\"\nfor=\"1s\"\nrate=1": "phase[1].name",
		"[[mix]]\nclass = \"safe\"\n[[phase]]\nfor = \"1s\"\nrate = 5":                                    "mix[0].partners",
		"in_flight = -1\n" + good:                                                                         "in_flight",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q in it", text, err, want)
		}
	}
	s, err := Parse([]byte("seed = 3\n" + good + "[[phase]]\nfor = \"1s\"\nrate = 5"))
	if err != nil || s.Phases[0].Shape != Constant || s.Late == 0 || s.InFlight == 0 || s.TotalDuration() != time.Second {
		t.Errorf("%+v, %v", s, err)
	}
}

// A system stops for five seconds at a constant rate. The latencies of the messages due
// meanwhile are uniform between 5 s and 0, and the recorder must show that within its precision.
func TestFreezeInClosedForm(t *testing.T) {
	const from, to = 2 * time.Second, 7 * time.Second
	s := newScenario(Phase{For: Duration(10 * time.Second), Rate: 2000})
	parts := []*Recorder{NewRecorder(), NewRecorder(), NewRecorder()}
	for _, m := range allMessages(s) {
		took := time.Duration(0)
		if m.Due >= from && m.Due < to {
			took = to - m.Due
		}
		parts[m.Number%3].RecordAcceptance(Key{Phase: m.Phase, Class: s.Mix[m.Kind].Class, Partner: m.Partner}, m.Due, took)
	}
	r := NewRecorder()
	for _, p := range parts {
		r.Merge(p)
	}
	h := MergeByGroup(r.Accepted, All, nil)[""]
	for _, q := range []float64{50, 60, 75, 90, 99, 99.9, 99.99} {
		want := max(0, 5*time.Second*time.Duration((q-50)*1e6)/time.Duration(50*1e6))
		if got := h.Percentile(q); math.Abs(float64(got-want)) > 0.002*float64(want)+float64(time.Millisecond) {
			t.Errorf("%g%%: %v, want %v", q, got, want)
		}
	}
	if d := h.Max() - 5*time.Second; d > 5*time.Millisecond || d < -5*time.Millisecond {
		t.Errorf("longest %v", h.Max())
	}
	if h.Count() != 20_000 || r.WorstWindows(1)[0] != 2 {
		t.Errorf("%d messages, worst second %d", h.Count(), r.WorstWindows(1)[0])
	}
	var sum int64
	for _, x := range MergeByGroup(r.Accepted, ByPartner, nil) {
		sum += x.Count()
	}
	if sum != 20_000 {
		t.Errorf("%d by partner", sum)
	}
}

// Latencies over the maximum of a histogram are counted, also when recorders are merged.
func TestLatencyOutOfRange(t *testing.T) {
	a, b := NewRecorder(), NewRecorder()
	for _, r := range []*Recorder{a, b} {
		r.RecordAcceptance(Key{}, 0, time.Hour)
	}
	a.Merge(b)
	if h := a.Accepted[Key{}]; h.OutOfRange != 2 || h.Count() != 2 || h.Max() < 10*time.Minute {
		t.Errorf("%d over of %d, longest %v", h.OutOfRange, h.Count(), h.Max())
	}
}

// Whether a run is valid depends only on the lateness of the generator.
func TestCheckLateness(t *testing.T) {
	s, r := newScenario(Phase{For: Duration(time.Second), Rate: 10}), NewRecorder()
	for range 10_000 {
		r.Lateness.Add(50 * time.Microsecond)
		r.RecordAcceptance(Key{}, 0, time.Minute)
	}
	for range 9 {
		r.Lateness.Add(time.Second)
	}
	if v := s.CheckLateness(r); !v.Valid {
		t.Errorf("%+v with nine of 10,000 late", v)
	}
	for range 10 {
		r.Lateness.Add(time.Second)
	}
	if v := s.CheckLateness(r); v.Valid || !strings.Contains(v.Reason, "the generator") {
		t.Errorf("%+v with nineteen of 10,000 late", v)
	}
}

// The ledger counts each message once, and finds each contradiction.
func TestLedger(t *testing.T) {
	for _, x := range []struct {
		name  string
		do    func(l *Ledger)
		want  Account
		fault string
	}{
		{"delivered", func(l *Ledger) { l.Sent(0); l.Answered(0, true); l.End(0, Delivered); l.End(0, Delivered) }, Account{Sent: 1, Accepted: 1, Delivered: 1}, ""},
		{"ended before its answer", func(l *Ledger) { l.Sent(0); l.End(0, Returned); l.Answered(0, true) }, Account{Sent: 1, Accepted: 1, Returned: 1}, ""},
		{"refused", func(l *Ledger) { l.Sent(5000); l.Answered(5000, false) }, Account{Sent: 1, Refused: 1}, ""},
		{"no answer", func(l *Ledger) { l.Sent(0); l.Unanswered(0) }, Account{Sent: 1, Unknown: 1}, ""},
		{"no answer, but an end", func(l *Ledger) { l.Sent(0); l.Unanswered(0); l.End(0, Failed) }, Account{Sent: 1, Unknown: 1, Failed: 1}, ""},
		{"answered twice", func(l *Ledger) { l.Sent(0); l.Answered(0, true); l.Answered(0, true); l.End(0, Failed) }, Account{Sent: 1, Accepted: 1, Failed: 1}, "answered twice"},
		{"another's answer", func(l *Ledger) { l.Sent(0); l.Answered(1, true) }, Account{Sent: 1, Unknown: 1}, "answered without"},
		{"two ends", func(l *Ledger) { l.Sent(0); l.Answered(0, true); l.End(0, Delivered); l.End(0, Failed) }, Account{Sent: 1, Accepted: 1, Delivered: 1}, "failed after another end"},
		{"an end after a refusal", func(l *Ledger) { l.Sent(0); l.Answered(0, false); l.End(0, Delivered) }, Account{Sent: 1, Refused: 1}, "delivered after it was refused"},
		{"a refusal after an end", func(l *Ledger) { l.Sent(0); l.End(0, Delivered); l.Answered(0, false) }, Account{Sent: 1, Unknown: 1, Delivered: 1}, "refused after its end"},
		{"another's end", func(l *Ledger) { l.End(3, Delivered) }, Account{}, "without having been submitted"},
		{"never ended", func(l *Ledger) { l.Sent(0); l.Answered(0, true) }, Account{Sent: 1, Accepted: 1, Open: 1}, "never ended"},
	} {
		l := &Ledger{}
		x.do(l)
		open := l.OpenCount()
		got := l.Close(func(int) bool { return true })
		if open != got.Open {
			t.Errorf("%s: %d are open, the account has %d", x.name, open, got.Open)
		}
		found := ""
		if l.FaultCount > 0 {
			found = l.Faults[0].What
		}
		if got != x.want || l.FaultCount > 1 || (x.fault == "") != (found == "") || !strings.Contains(found, x.fault) {
			t.Errorf("%s: %+v, want %+v; faults %v", x.name, got, x.want, l.Faults)
		}
	}
	l := &Ledger{}
	for n := range 3 * maxFaults {
		l.End(n, Delivered)
	}
	if len(l.Faults) != maxFaults || l.FaultCount != 3*maxFaults {
		t.Errorf("%d faults kept of %d", len(l.Faults), l.FaultCount)
	}
}
