package daemon

import (
	"testing"
	"time"

	"cometrack/internal/standin/ready"
)

// Processes that are killed at once and started again serve clients while discovery is still down: they wait neither for
// its list nor for what becomes of the messages that they hold. `measure ready` does the same with twenty of them.
func TestReadyAfterKill(t *testing.T) {
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	const most = 10 * time.Second // as the standing test has it
	p := ready.Scenario{Program: path, Processes: 3, Pending: 300, DiscoveryOutage: 2 * most}
	starts, err := p.Run()
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range starts {
		t.Logf("%+v", s)
		if s.Ready >= most || s.Pending < p.Pending/2 {
			t.Errorf("process %d is ready after %v with %d held", i, s.Ready, s.Pending)
		}
	}
}
