package daemon

import (
	"testing"
	"time"

	"cometrack/internal/standin/ready"
)

// Processes that are killed at the same time and restarted serve clients while discovery is still down: they wait
// neither for its list nor for the outcomes of their pending messages. `measure ready` does the same with twenty
// processes.
func TestReadyAfterKill(t *testing.T) {
	path, err := programPath()
	if err != nil {
		t.Fatal(err)
	}
	const maxStart = 10 * time.Second // the limit of the acceptance test
	p := ready.Scenario{Program: path, Processes: 3, Pending: 300, DiscoveryOutage: 2 * maxStart}
	starts, err := p.Run()
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range starts {
		t.Logf("%+v", s)
		if s.Ready >= maxStart || s.Pending < p.Pending/2 {
			t.Errorf("process %d is ready after %v with %d pending messages", i, s.Ready, s.Pending)
		}
	}
}
