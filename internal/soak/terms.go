package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// newTermsDelay is how long after SIGHUP clients learn of new settings, whose rules bind from then on.
const newTermsDelay = 1200 * time.Millisecond

// classes are the classes of messages. Each has the effect of its name unless the settings change.
var classes = []Effect{Safe, Keyed, Unsafe}

// terms are the part of a sender's settings under which messages are accepted.
type terms struct {
	effects  map[Effect]Effect // by class; a class without an entry is not in the settings
	attempts int               // most attempts of a message
	// optionalKeys are the keys in the settings of each class that a configuration may leave out.
	optionalKeys map[string]any
}

// allOptionalKeys returns the keys that the settings of a class may leave out, with values that change nothing.
func allOptionalKeys() map[string]any {
	return map[string]any{"aim_stretch": 0, "keep_order": false}
}

// initialTerms are the terms with which senders start.
func initialTerms() terms {
	return terms{map[Effect]Effect{Safe: Safe, Keyed: Keyed, Unsafe: Unsafe}, 4, allOptionalKeys()}
}

// drawTerms draws terms in which about half of the classes have another effect than that of their name, and one may be
// missing. Keys of messages are always given, so that each class may be keyed. The optional keys are drawn from a source of
// their own, so that the scripts of earlier seeds stay as they are.
func drawTerms(rng, optional *rand.Rand) terms {
	drawn := terms{effects: map[Effect]Effect{}, attempts: 2 + 2*rng.IntN(3)}
	dropped := rng.IntN(4 * len(classes))
	for i, class := range classes {
		effect := class
		if rng.IntN(2) == 0 {
			effect = classes[rng.IntN(len(classes))]
		}
		if i != dropped {
			drawn.effects[class] = effect
		}
	}
	drawn.optionalKeys = drawOptionalKeys(optional)
	return drawn
}

// drawOptionalKeys draws which of the optional keys are given, about half of them.
func drawOptionalKeys(rng *rand.Rand) map[string]any {
	drawn := allOptionalKeys()
	for _, key := range slices.Sorted(maps.Keys(drawn)) {
		if rng.IntN(2) == 0 {
			delete(drawn, key)
		}
	}
	return drawn
}

// String describes the terms for the script of a run.
func (t terms) String() string {
	text := fmt.Sprintf("%d attempts", t.attempts)
	for _, class := range classes {
		if effect, ok := t.effects[class]; ok {
			text += fmt.Sprintf(", %s is %s", class, effect)
		}
	}
	if len(t.optionalKeys) < len(allOptionalKeys()) {
		text += fmt.Sprintf(", of the optional keys %v", slices.Sorted(maps.Keys(t.optionalKeys)))
	}
	return text
}

// classSettings returns the classes in the format of the settings.
func (t terms) classSettings() ([]byte, error) {
	names := map[Effect]string{Safe: "retryable", Keyed: "dedup", Unsafe: "fragile"} // of the effects in the settings
	var list []map[string]any
	for _, class := range classes {
		effect, ok := t.effects[class]
		if !ok {
			continue
		}
		settings := map[string]any{"name": class, "aim_s": 1, "deadline_s": 5, "worth": 1, "late_worth": 0.4,
			"idempotency": names[effect], "group": "all", "window_s": repeatWindow.Seconds()}
		maps.Copy(settings, t.optionalKeys)
		list = append(list, settings)
	}
	return json.Marshal(list)
}

// termsChange is a change of a sender's terms.
type termsChange struct {
	at    time.Time // of SIGHUP; zero for the terms of the first start
	terms terms
}

// addTerms records that a sender gets SIGHUP for other terms just now, or starts with its first ones.
func (r *Records) addTerms(sender int, change termsChange) {
	r.withLock(func() { r.terms[sender] = append(r.terms[sender], change) })
}

// bindingTerms returns the effect and the number of attempts that bind for a message by the rule that new terms bind
// newTermsDelay after SIGHUP. A class that is not in the terms of that time has its next ones. It returns false if no
// terms of the sender are recorded.
func (r *Records) bindingTerms(m *Message) (effect Effect, attempts int, ok bool) {
	changes := r.terms[m.Sender]
	binding := 0
	for i, change := range changes {
		if !m.WrittenAt.Before(change.at.Add(newTermsDelay)) {
			binding = i
		}
	}
	for _, change := range changes[min(binding, len(changes)):] {
		if effect, ok := change.terms.effects[m.Class]; ok {
			return effect, change.terms.attempts, true
		}
	}
	return m.Class, 0, false
}

// judgeAttempts checks that a message has no more calls than attempts. attempts is 0 if there is no limit.
func judgeAttempts(m *Message, attempts int, add func(*Message, string, ...any)) {
	if attempts > 0 && len(m.Calls) > attempts {
		add(m, "%d calls, %d attempts allowed", len(m.Calls), attempts)
	}
}

// changeTerms changes the terms of a sender by SIGHUP to all of its processes. It does nothing while the sender is being
// restarted.
func (f *fleet) changeTerms(s *sender, next terms) error {
	if !s.restartMu.TryLock() {
		return nil
	}
	defer s.restartMu.Unlock()
	return f.signalTerms(s, next, s.process())
}

// signalTerms rewrites the configuration of a sender with other terms and sends SIGHUP to some of its processes. The
// caller holds restartMu.
func (f *fleet) signalTerms(s *sender, next terms, processes ...*process) error {
	s.terms = next
	if err := s.writeConfig(len(f.senders), f.pushed); err != nil {
		return err
	}
	f.records.addTerms(s.number, termsChange{time.Now(), next})
	for _, p := range processes {
		p.Signal(syscall.SIGHUP)
	}
	return nil
}

// upgradeSender starts a second process of the sender that takes over, and ends the first. The terms, if not nil, are
// sent to both processes while the second one starts.
func (f *fleet) upgradeSender(s *sender, during *terms) error {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	from := time.Now()
	predecessor := s.process()
	successor, err := s.start()
	if err != nil {
		return err
	}
	if during != nil {
		if err := f.signalTerms(s, *during, predecessor, successor); err != nil {
			return err
		}
	}
	return s.settleUpgrade(from, successor)
}

// drawTermsFault draws a series of changes of a sender's terms, some of them unchanged files, and an end of its process
// that may follow within the time in which clients don't know of them.
func (f *fleet) drawTermsFault(s *sender, at time.Duration, rng *rand.Rand) []step {
	var steps []step
	optional := rand.New(rand.NewPCG(f.seed, uint64(at)))
	next := drawTerms(rng, optional)
	for range 1 + rng.IntN(4) {
		changed := next
		steps = append(steps, step{at, fmt.Sprintf("sender %d gets SIGHUP for %v", s.number, changed),
			func() { f.goRestart(func() error { return f.changeTerms(s, changed) }) }})
		at += time.Duration(50+rng.IntN(650)) * time.Millisecond
		if rng.IntN(3) > 0 { // else the file stays as it is
			next = drawTerms(rng, optional)
		}
	}
	var text string
	var end func() error
	switch rng.IntN(5) {
	case 0:
		return steps
	case 1:
		lifetimes := []time.Duration{time.Duration(rng.IntN(300)) * time.Millisecond}[:rng.IntN(2)]
		text, end = fmt.Sprintf("is killed, and again %v after starts", lifetimes),
			func() error { return s.restart(restartPlan{lifetimes: lifetimes}) }
	case 2:
		text, end = "gets SIGTERM", func() error { return s.restart(restartPlan{planned: true}) }
	case 3:
		text, end = "is upgraded", func() error { return f.upgradeSender(s, nil) }
	case 4:
		text, end = fmt.Sprintf("is upgraded, and both processes get SIGHUP for %v", next),
			func() error { return f.upgradeSender(s, &next) }
	}
	// Sometimes at once behind the last SIGHUP, which may then be lost with the process.
	at -= time.Duration(rng.IntN(2)) * min(at-steps[len(steps)-1].at, 600*time.Millisecond)
	return append(steps, step{at + 2*time.Millisecond, fmt.Sprintf("sender %d %s", s.number, text), func() { f.goRestart(end) }})
}
