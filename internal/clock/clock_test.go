package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the wall clock says at the starts, spans over restarts within a boot keep their length.
func TestSpansOutliveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-7200, 7200).Draw(t, name)) * time.Second
		}
		wall := time.Unix(1_700_000_000, 0)
		b := boot{id: "a", since: rapid.Int64Range(0, 1e12).Draw(t, "since"), moment: wall.Add(step("first step"))}
		first, epoch, known := start(nil, 0, b)
		if !known {
			t.Fatal("nothing is to be known of a new folder, and that is not known")
		}
		deadline, passed := first.Now()+5_000_000, int64(0)
		for i := range rapid.IntRange(1, 5).Draw(t, "restarts") {
			away := rapid.Int64Range(0, 10_000_000).Draw(t, "away")
			passed += away
			b.since += away
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

// After a boot, and with a journal of an older version, the wall clock is the guess, and time does not go back.
func TestUnknownSpans(t *testing.T) {
	moment := time.Unix(1_700_000_000, 0)
	for name, x := range map[string]struct {
		kept   *Epoch
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
		c, epoch, known := start(x.kept, x.latest, boot{x.id, 3, moment})
		if got := c.At(moment); got != x.want || known != x.known || epoch.Offset != x.want-3 || epoch.BootID != x.id {
			t.Errorf("%s: %d, epoch %+v, known %v", name, got, epoch, known)
		}
	}
}

func TestMoments(t *testing.T) {
	c := New(1000, time.Now())
	if at := c.Moment(5_001_000); c.At(at) != 5_001_000 || at.Sub(c.origin) != 5*time.Second {
		t.Errorf("%v is %d", at, c.At(at))
	}
	if now := c.Now(); now < 1000 || now > 60_000_000 {
		t.Errorf("now is %d", now)
	}
	for range 1000 { // a time that is told has the microsecond that it was given
		now := time.Now()
		c, at := New(now.UnixMicro(), now), now.Add(10*time.Second).UnixMicro()
		if got := c.Wall(at).UnixMicro(); got != at {
			t.Fatalf("%d is told as %d", at, got)
		}
	}
	if off := time.Until(c.Wall(c.Now() + 3_600_000_000)); off < 59*time.Minute || off > 61*time.Minute {
		t.Errorf("in an hour the wall clock is off by %v", off)
	}
}

// The machine at hand has a boot with an id and a clock.
func TestSystemBoot(t *testing.T) {
	if b := systemBoot(); b.id == "" || b.since <= 0 {
		t.Errorf("%+v", b)
	}
}

// The sender's time was off by as long as the process was held up between its readings of two clocks, from one start to
// the next: the readings are made again then.
func TestClocksAreReadTogether(t *testing.T) {
	const stall = 150 * time.Millisecond
	for held := range 2 * readings { // the look at a clock that the process is held up behind
		start, elapsed, looks := time.Unix(1_700_000_000, 0), time.Duration(0), 0
		look := func() time.Duration {
			at := elapsed
			if elapsed += time.Microsecond; looks == held {
				elapsed += stall
			}
			looks++
			return at
		}
		b, ok := readTogether(func() time.Time { return start.Add(look()) },
			func() (int64, bool) { return look().Microseconds(), true })
		if off := b.moment.Sub(start) - time.Duration(b.since)*time.Microsecond; !ok || off.Abs() > togetherness {
			t.Errorf("held up behind look %d: the clocks are off by %v", held, off)
		}
	}
}
