package capacity

// The load in two years, as stated by the operators, and the part of it that falls on one
// sender.
const (
	fleetSenders     = 560           // each serves all destinations
	fleetMessages    = 380_000       // per second
	destinations     = 42_000        // partners of the fleet
	outageShare      = 0.016         // share of the destinations in outage, at any time
	fleetBacklog     = 8_200_000_000 // messages
	dailyChanges     = 1300          // configuration changes per day
	maxChangeSeconds = 3             // seconds until a change is in force everywhere

	// What a sender may spend on control: on membership, facts and configuration, besides messages.
	controlCorePercent    = 1.6    // percent of a core, per sender
	controlMB             = 128    // of memory, per sender
	controlBytesPerSecond = 14_000 // sent, per second and sender

	senderMessages       = 680        // per second: fleetMessages / fleetSenders, 679
	senderBacklog        = 14_600_000 // fleetBacklog / fleetSenders
	destinationsInOutage = 670        // destinations · outageShare, 672
	// msPerMessage is the time in ms that one core has for each message.
	msPerMessage = 1000.0 / senderMessages
	// secondsPerChange is the processor time in seconds that a configuration change may take within
	// controlCorePercent of a core over a day.
	secondsPerChange = controlCorePercent / 100 * 86400 / dailyChanges
	// republishSeconds is the interval of 40 s after which a sender publishes an outage again
	// (internal/cluster: outageTTL - outageRepublishInterval).
	republishSeconds = 40
	// concurrentFacts is the number of facts in force at a time: one for each destination in outage
	// and sender.
	concurrentFacts = destinationsInOutage * fleetSenders
)
