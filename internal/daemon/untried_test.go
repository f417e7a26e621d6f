package daemon

import (
	"syscall"
	"testing"
	"time"

	"cometrack/internal/standin/untried"
)

// Messages that were accepted but not attempted before a restart are attempted by the new process, half of them with
// little time left: after a kill and after a regular exit, with a partner that is slow and one that is listed only a
// second after the start.
func TestUntriedAfterRestart(t *testing.T) {
	path, err := programPath()
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
				t.Errorf("of %d pending messages without an attempt %d were attempted, %d ended without a call, %d had expired: %v",
					c.Pending, c.Attempted, c.EndedUntried, c.Expired, c.Faults)
			}
		})
	}
}
