package faultbuild

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
)

// Point is a named place in the program, between two steps that belong together, at
// which an event can be injected.
type Point struct {
	Name   string // what has happened and what has not, for reports
	File   string // path relative to the root of the module
	Before string // source text after the point; it must occur in the file exactly once
}

// Event is a fault or signal that is injected at a point.
type Event int

// The events, in the order of their numbers in the page.
const (
	Hold            Event = iota // the process is stopped until it gets SIGCONT, see [Resume]
	Kill                         // SIGKILL
	Terminate                    // SIGTERM
	Reload                       // SIGHUP
	FailWrite                    // the next write at an offset fails
	BreakConnection              // the next connection that is written to is shut down first
	Silence                      // the process is stopped, and the harness silences its connections, see [Controls.TakeSilence]
	EventCount                   // the number of events
)

// eventNames are the names of the events for reports, by number.
var eventNames = [...]string{"hold", "kill", "terminate", "reload", "fail write", "break", "silence"}

// String returns the name of the event.
func (e Event) String() string { return eventNames[e] }

// Arm injects an event at a point, given by its number, once the point has been passed
// skip times from now on: with skip 0, at the next pass. The event occurs once, and replaces
// one that is still armed. FailWrite and BreakConnection count as having occurred at that pass,
// and affect a later write.
func (c *Controls) Arm(point int, event Event, skip int) {
	c.set(fieldArmedPoint, 0)
	c.set(fieldArmedEvent, int64(event))
	c.set(fieldArmedSkip, int64(skip))
	c.set(fieldArmedPoint, int64(point)+1)
}

// Disarm cancels the armed event and reports whether it had not occurred yet; false also if
// none was armed.
func (c *Controls) Disarm() bool {
	return atomic.SwapInt64(&c.page[fieldArmedPoint], 0) != 0
}

// TakeSilence reports whether a process that uses the page has stopped itself for [Silence] since the last call. The
// caller silences its connections, and then sends it SIGCONT.
func (c *Controls) TakeSilence() bool { return atomic.SwapInt64(&c.page[fieldSilence], 0) != 0 }

// Armed reports whether an event set by [Controls.Arm] is still to occur in a process that uses
// the page. It is false once the event has occurred, after [Controls.Disarm], and if none was armed.
func (c *Controls) Armed() bool { return c.get(fieldArmedPoint) != 0 }

// PassCount returns how often a point, given by its number, has been passed by the processes
// that use the page.
func (c *Controls) PassCount(point int) int64 { return c.get(fieldPassCounts + point) }

// PointChanges returns the source changes of a build in which each point calls its hook
// with its index in points, which is the number that [Controls.Arm] and [Controls.PassCount]
// take. The working directory must be within the module.
func PointChanges(points []Point) ([]Change, error) {
	if len(points) > MaxPoints {
		return nil, fmt.Errorf("%d points; a page has room for %d", len(points), MaxPoints)
	}
	top, err := moduleRoot()
	if err != nil {
		return nil, err
	}
	var changes []Change
	imports := map[string]bool{}
	for number, p := range points {
		if !imports[p.File] {
			imports[p.File] = true
			text, err := os.ReadFile(filepath.Join(top, p.File))
			if err != nil {
				return nil, err
			}
			if !strings.Contains(string(text), "\t\"syscall\"\n") {
				changes = append(changes, Change{p.File, "import (\n", "import (\n\t\"syscall\"\n"})
			}
		}
		changes = append(changes, Change{p.File, p.Before, fmt.Sprintf("syscall.FaultPoint(%d)\n%s", number, p.Before)})
	}
	return changes, nil
}
