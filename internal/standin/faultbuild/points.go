package faultbuild

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
)

// Point is a named place in the program, between two steps that belong together, at
// which an event may be made to come.
type Point struct {
	Name   string
	File   string // below the top of the module
	Before string // the text that it comes before, which must be in the file exactly once
}

// Event is what comes at a point.
type Event int

// The events.
const (
	Hold            Event = iota // the process is held up until it gets SIGCONT, see [Resume]
	Kill                         // SIGKILL
	Terminate                    // SIGTERM
	Reload                       // SIGHUP
	FailWrite                    // the next write to the folder fails
	BreakConnection              // the connection is shut that is written to next
	EventCount                   // their number
)

var eventNames = [...]string{"hold", "kill", "terminate", "reload", "fail write", "break"}

func (e Event) String() string { return eventNames[e] }

// Arm has an event come at a point, by its number, after it has been passed some times.
// It comes once.
func (c *Controls) Arm(point int, event Event, skip int) {
	c.set(fieldArmedPoint, 0)
	c.set(fieldArmedEvent, int64(event))
	c.set(fieldArmedSkip, int64(skip))
	c.set(fieldArmedPoint, int64(point)+1)
}

// Disarm takes an event back, and says whether it had not come.
func (c *Controls) Disarm() bool {
	return atomic.SwapInt64(&c.page[fieldArmedPoint], 0) != 0
}

// Armed says whether an event is still to come.
func (c *Controls) Armed() bool { return c.get(fieldArmedPoint) != 0 }

// PassCount is how often a point has been passed.
func (c *Controls) PassCount(point int) int64 { return c.get(fieldPoints + point) }

// PointChanges are those of a build in which the points report themselves by their number.
// The working directory must be within the module.
func PointChanges(points []Point) ([]Change, error) {
	if len(points) > MaxPoints {
		return nil, fmt.Errorf("%d points; a page has room for %d", len(points), MaxPoints)
	}
	top, err := moduleTop()
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
