package daemon

import (
	"syscall"
	"testing"
	"time"

	"cometrack/internal/standin/untried"
)

// What a restart finds taken on and untried is tried by the new process, half of it with little time left: after a kill and
// after an ordered end, with a partner that is slow and one that the list names only a second after the start.
func TestUntriedAfterRestart(t *testing.T) {
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]untried.Scenario{
		"killed, slow":        {Signal: syscall.SIGKILL, Pending: 100, Latency: 600 * time.Millisecond, ShortRemaining: time.Second},
		"ended, slow":         {Signal: syscall.SIGTERM, Pending: 100, Latency: 600 * time.Millisecond, ShortRemaining: time.Second},
		"killed, listed late": {Signal: syscall.SIGKILL, Pending: 20, Latency: 20 * time.Millisecond, ListedAfter: time.Second, ShortRemaining: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.Program, p.LongRemaining = path, 10*time.Second
			c, err := p.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", c)
			if c.EndedUntried > c.Pending/20 || c.Expired > c.Pending/2 || len(c.Faults) > 0 {
				t.Errorf("of %d held untried %d were tried, %d ended with no call, %d had run out of time: %v", c.Pending, c.Attempted, c.EndedUntried, c.Expired, c.Faults)
			}
		})
	}
}
