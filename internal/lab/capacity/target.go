package capacity

// What has to be carried in two years, as the operators give it, and what of it falls
// on one sender.
const (
	fleetSenders = 560
	fleetEvents  = 380_000       // a second
	destinations = 42_000        //
	shareDown    = 0.016         // of the destinations, at any time
	fleetBacklog = 8_200_000_000 // events
	dailyChanges = 1300          // of configuration
	changeWithin = 3             // seconds, until it is in force everywhere

	controlCore  = 1.6    // percent of a core, a sender
	controlMB    = 128    // a sender
	controlBytes = 14_000 // a second, a sender

	senderEvents  = 680        // a second: fleetEvents / fleetSenders, 679
	senderBacklog = 14_600_000 // fleetBacklog / fleetSenders
	downAtOnce    = 670        // destinations · shareDown, 672
	// One core has so many ms for each message.
	eachMessage = 1000.0 / senderEvents
	// A sender that may use controlCore of a core has so many seconds of it for a change.
	eachChange = controlCore / 100 * 86400 / dailyChanges
	// A sender tells that a destination is out again after 40 s (internal/cluster: outFor - outAgain).
	toldAgain = 40
	// Each sender with messages for a destination that is out tells a fact of it.
	factsAtOnce = downAtOnce * fleetSenders
)
