package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Durations over restarts within a boot must keep their length, whatever the wall clock is at each start.
func TestDurationsAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-7200, 7200).Draw(t, name)) * time.Second
		}
		wall := time.Unix(1_700_000_000, 0)
		b := boot{id: "a", uptime: rapid.Int64Range(0, 1e12).Draw(t, "since"), moment: wall.Add(step("first step"))}
		first, epoch, known := start(nil, 0, b)
		if !known {
			t.Fatal("a new folder has no earlier times, but they count as unknown")
		}
		deadline, passed := first.Now()+5_000_000, int64(0)
		for i := range rapid.IntRange(1, 5).Draw(t, "restarts") {
			away := rapid.Int64Range(0, 10_000_000).Draw(t, "away")
			passed += away
			b.uptime += away
			b.moment = wall.Add(step("step"))
			var c *Clock
			if c, epoch, known = start(&epoch, deadline, b); !known {
				t.Fatalf("restart %d: not known", i)
			}
			if left, want := deadline-c.At(b.moment), deadline-first.At(first.origin)-passed; left != want {
				t.Fatalf("restart %d: %d µs left, want %d", i, left, want)
			}
		}
	})
}

// After a reboot, and with a journal of an older version, the clock must start from the wall clock without going back.
func TestUnknownDurations(t *testing.T) {
	moment := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		saved  *Epoch
		latest int64
		id     string
		want   int64
		known  bool
	}{
		"new folder":               {nil, 0, "a", moment.UnixMicro(), true},
		"older version":            {nil, 5, "a", moment.UnixMicro(), false},
		"other boot":               {&Epoch{"b", 7}, 5, "a", moment.UnixMicro(), false},
		"other boot, clock back":   {&Epoch{"b", 7}, moment.UnixMicro() + 9, "a", moment.UnixMicro() + 9, false},
		"a boot without an id":     {&Epoch{"", 7}, 5, "", moment.UnixMicro(), false},
		"same boot, and many days": {&Epoch{"a", 1 << 50}, 5, "a", 1<<50 + 3, true},
	} {
		c, epoch, known := start(test.saved, test.latest, boot{test.id, 3, moment})
		if got := c.At(moment); got != test.want || known != test.known ||
			epoch.Offset != test.want-3 || epoch.BootID != test.id {
			t.Errorf("%s: %d, epoch %+v, known %v", name, got, epoch, known)
		}
	}
}

// Conversions between the clock, monotonic times and the wall clock must agree.
func TestConversions(t *testing.T) {
	c := New(1000, time.Now())
	if at := c.Moment(5_001_000); c.At(at) != 5_001_000 || at.Sub(c.origin) != 5*time.Second {
		t.Errorf("%v is %d", at, c.At(at))
	}
	if now := c.Now(); now < 1000 || now > 60_000_000 {
		t.Errorf("now is %d", now)
	}
	for range 1000 { // a time must be reported with the microsecond that it was created with
		now := time.Now()
		c, at := New(now.UnixMicro(), now), now.Add(10*time.Second).UnixMicro()
		if got := c.Wall(at).UnixMicro(); got != at {
			t.Fatalf("%d is reported as %d", at, got)
		}
	}
	if off := time.Until(c.Wall(c.Now() + 3_600_000_000)); off < 59*time.Minute || off > 61*time.Minute {
		t.Errorf("the wall time of an hour from now is %v from now", off)
	}
}

// Guards against a step of the wall clock that was none: the process is held up between the two clocks of one reading.
func TestStepIsReadAgain(t *testing.T) {
	const held = 3 * time.Millisecond
	for _, x := range []struct {
		readings []time.Duration
		want     time.Duration
	}{
		{[]time.Duration{0}, 0},
		{[]time.Duration{-held, 0}, 0},
		{[]time.Duration{-held, held, minStep / 2}, 0},
		{[]time.Duration{time.Hour + held, time.Hour, time.Hour + held}, time.Hour},
		{[]time.Duration{-time.Hour - held, -time.Hour - held, -time.Hour}, -time.Hour},
	} {
		next := 0
		got := smallestStep(func() time.Duration { next++; return x.readings[next-1] })
		if got != x.want || next != len(x.readings) {
			t.Errorf("%v: step %v after %d readings, want %v", x.readings, got, next, x.want)
		}
	}
}

// The machine that runs the tests must have a boot ID and a boot clock.
func TestSystemBoot(t *testing.T) {
	if b := readBoot(); b.id == "" || b.uptime <= 0 {
		t.Errorf("%+v", b)
	}
}

// If the process is stalled between its readings of two clocks, they must be read again. Otherwise the sender's time is
// off by the length of the stall until the next start.
func TestReadSimultaneously(t *testing.T) {
	const stall = 150 * time.Millisecond
	for stalled := range 2 * maxReadings { // index of the reading after which the process stalls
		origin, elapsed, readings := time.Unix(1_700_000_000, 0), time.Duration(0), 0
		read := func() time.Duration {
			at := elapsed
			if elapsed += time.Microsecond; readings == stalled {
				elapsed += stall
			}
			readings++
			return at
		}
		b, ok := readSimultaneously(func() time.Time { return origin.Add(read()) },
			func() (int64, bool) { return read().Microseconds(), true })
		if off := b.moment.Sub(origin) - time.Duration(b.uptime)*time.Microsecond; !ok || off.Abs() > maxReadingGap {
			t.Errorf("stalled after reading %d: the clocks are off by %v", stalled, off)
		}
	}
}
