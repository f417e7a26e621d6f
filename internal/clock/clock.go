package clock

import (
	"math"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the sender's time. It may be used by several goroutines at once.
type Clock struct {
	base   int64     // the sender's time ...
	origin time.Time // ... at this moment, which has a monotonic reading
}

// New makes a clock that shows base, in microseconds, at a moment.
func New(base int64, origin time.Time) *Clock { return &Clock{base, origin} }

// Now is the time, in microseconds.
func (c *Clock) Now() int64 { return c.base + time.Since(c.origin).Microseconds() }

// At is the time at a moment of this process.
func (c *Clock) At(t time.Time) int64 { return c.base + t.Sub(c.origin).Microseconds() }

// Moment is the moment of this process at which the clock shows a time. It may be
// compared with other moments and waited for, whatever becomes of the wall clock.
func (c *Clock) Moment(us int64) time.Time {
	return c.origin.Add(time.Duration(us-c.base) * time.Microsecond)
}

// Wall is what the wall clock showed or will show at a time, as far as it stands
// now: for people and protocols, never for decisions.
func (c *Clock) Wall(us int64) time.Time {
	now := time.Now()
	wall := c.origin.Round(0)
	step := now.Round(0).Sub(wall) - now.Sub(c.origin) // of the wall clock since the start of the process
	if step.Abs() < leastStep {
		step = 0
	}
	return wall.Add(time.Duration(us-c.base)*time.Microsecond + step)
}

// leastStep of the wall clock is not just the jitter of two readings.
const leastStep = time.Millisecond

// Epoch ties the sender's time to a boot of the machine.
type Epoch struct {
	BootID string // the boot's id; empty if it has none
	Offset int64  // of the sender's time before the clock of the boot, in microseconds
}

// Start makes the clock of a process. kept is what the process before it kept; nil if
// it kept nothing. latest is the latest time that it has written; 0 for none. The
// epoch is to be kept in its turn. known says that the time that has passed since
// earlier times were written is right.
func Start(kept *Epoch, latest int64) (c *Clock, epoch Epoch, known bool) {
	return start(kept, latest, systemBoot())
}

// boot is a moment on the clocks of the machine.
type boot struct {
	id     string
	since  int64 // microseconds since the boot, sleep counted
	moment time.Time
}

// systemBoot reads the clocks. On a system that lacks them the id is empty.
func systemBoot() boot {
	out, ok := readTogether(time.Now, sinceBoot)
	if !ok {
		return out
	}
	if id, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		out.id = strings.TrimSpace(string(id))
	}
	return out
}

// sinceBoot is the time since the boot in microseconds, sleep counted.
func sinceBoot() (int64, bool) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0, false
	}
	return ts.Nano() / int64(time.Microsecond), true
}

const (
	// readings are made at most until two clocks are read within togetherness of each
	// other: a process that is held up in between would be off by that from then on.
	readings     = 8
	togetherness = time.Millisecond
)

// readTogether reads two clocks at one moment, as closely as it can; false if the second
// can't be read.
func readTogether(now func() time.Time, since func() (int64, bool)) (out boot, ok bool) {
	least := time.Duration(math.MaxInt64)
	for range readings {
		before := now()
		us, ok := since()
		apart := now().Sub(before)
		if !ok {
			return boot{moment: before}, false
		}
		if apart < least {
			least, out = apart, boot{since: us, moment: before}
		}
		if least < togetherness {
			break
		}
	}
	return out, true
}

func start(kept *Epoch, latest int64, b boot) (c *Clock, epoch Epoch, known bool) {
	if kept != nil && b.id != "" && kept.BootID == b.id {
		return New(b.since+kept.Offset, b.moment), *kept, true
	}
	now := max(b.moment.UnixMicro(), latest)
	return New(now, b.moment), Epoch{BootID: b.id, Offset: now - b.since}, kept == nil && latest == 0
}
