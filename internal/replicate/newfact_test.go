package replicate

import "testing"

// twice is the number of times that a new fact must be sent within deliveryBound.
func twice(Time) int { return minTries }

// TestNewFactResentBesideOlder checks that a new fact is sent twice within deliveryBound to a peer that
// has not confirmed an older one for long.
func TestNewFactResentBesideOlder(t *testing.T) {
	afterResend := func(n *network, lost selector) {
		n.cutTarget(ofTarget)
		n.Run(n.senders[origin].peers[allPeers[target].Name].resendAt - n.Now)
		n.publish(lost)
	}
	bound{"resent beside an older fact", deliveryBound, twice, afterResend, direct, ofTarget}.check(t)
}

// TestNewFactSentAfterCatchUp checks that a new fact is sent twice within deliveryBound to a peer that
// has just caught up.
func TestNewFactSentAfterCatchUp(t *testing.T) {
	afterCatchUp := func(n *network, lost selector) {
		n.start(target)
		n.Run(10 * linkDelay)
		n.publish(lost)
	}
	bound{"sent after a catch-up", deliveryBound, twice, afterCatchUp, direct, direct}.check(t)
}
