package replicate

import "testing"

// TestNewFactInTime checks that a new fact is sent twice within deliveryBound where the peer is not in the usual
// state: it has not confirmed an older fact for long, or it has just caught up.
func TestNewFactInTime(t *testing.T) {
	twice := func(Time) int { return minTries }
	besideOlder := func(n *network, lost selector) {
		n.cutTarget(ofTarget)
		n.Run(n.senders[origin].peers[allPeers[target].Name].resendAt - n.Now)
		n.publish(lost)
	}
	afterCatchUp := func(n *network, lost selector) {
		n.start(target)
		n.Run(10 * linkDelay)
		n.publish(lost)
	}
	for _, b := range []bound{
		{"resent beside an older fact", deliveryBound, twice, besideOlder, direct, ofTarget},
		{"sent after a catch-up", deliveryBound, twice, afterCatchUp, direct, direct},
	} {
		t.Run(b.name, b.check)
	}
}
