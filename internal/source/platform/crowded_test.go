package platform

import (
	"slices"
	"testing"
	"testing/synctest"
)

// Guards against a change that arrives late in a large fleet whose discovery is overloaded: the watch waits in its
// queue and is refused, and one check after it is refused too.
func TestInHandInTimeThoughDiscoveryIsCrowded(t *testing.T) {
	named := func(name string) fault {
		return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
	}
	large := 0
	for i, d := range deployments {
		if d.name == "300 senders" {
			large = i
		}
	}
	const scenarios = 100
	late := 0
	for seed := range uint64(scenarios) {
		o := scenario{deployment: large, haveList: true, faults: []fault{named("503 after 3 s"), named("503")}, seed: seed}
		synctest.Test(t, func(t *testing.T) {
			if took, _ := runScenario(t, o); took > o.bound() {
				late++
			}
		})
	}
	if late > 0 {
		t.Errorf("%d of %d changes arrived too late", late, scenarios)
	}
}
