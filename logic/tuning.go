package logic

import "math"

// Constants of the scheduling decisions. Durations are of type Micros or untyped counts of microseconds. τ is
// the age at which a slow call is cancelled and started again, see histogram.restartTime.

const (
	// Latency histograms, restarts and stuck calls.

	latencyHalfLife = 30 * Second // half-life of the samples in the latency histograms
	firstBinEdge    = 2000        // upper edge of the first bin, microseconds
	binRatio        = 1.25        // ratio of successive bin edges; narrower bins need more samples
	binCount        = 48          // the last edge is near 70 s
	minSamples      = 4.0         // discounted number of samples before a histogram is used
	// minRestartSamples is the discounted number of samples before τ is used. A τ from fewer samples cancels
	// healthy calls.
	minRestartSamples = 12.0
	// maxRestartRatio: calls are restarted at τ if the mean time to an answer with restarts is under this
	// fraction of the time without.
	maxRestartRatio = 0.85
	maxRestarts     = 2 // restarts of one message; each doubles the next time limit
	// A call is stuck after stuckP95Factor times the 95th percentile of latency, and at least minStuckAfter.
	stuckP95Factor = 3.0
	minStuckAfter  = Second / 2
	// stuckCancelFactor times the time after which a call is stuck is the time after which it is cancelled.
	stuckCancelFactor = 2
	stuckAfterUnknown = 2 * Second // a call is stuck after this time while no latency is known

	// Rate limits, in calls per second unless a comment says otherwise.

	minRate    = 1.0    // lower bound of the adaptive rate, unless the even share is smaller
	rateWindow = Second // span over which the initial rate is counted, and least time between two decreases
	// defaultBurstTime is the burst of an idle limiter, as time at its rate. Larger bursts run into limits.
	defaultBurstTime    = Second / 2
	rateIncrease        = 0.1 // increase with each success, as a fraction of the rate
	unlimitedRateFactor = 4.0 // a rate of this multiple of the calls sent has no effect any more and is dropped
	maxShareFactor      = 1.5 // multiple of its even share of a limit that a sender may use
	// The first rejection leaves smallShareFirstDecrease of an even share that is under minRate. If the share
	// is under smallShareScale, it leaves less, in proportion to the share, down to smallShareDecrease. That is
	// also the factor of each further rejection.
	smallShareFirstDecrease = 0.8
	smallShareScale         = 0.5
	smallShareDecrease      = 0.5
	smallShareRecovery      = 0.4  // fraction of the gap to the share that a success recovers
	smallShareIncrease      = 0.02 // fraction of the share that a success adds besides
	smallShareMinimum       = 0.1  // lower bound of the rate, as a fraction of the share

	// Outages, trials and connections.

	ewmaWeight         = 0.3        // weight of the newest value in the moving averages of failures and latency
	outageFailureRatio = 0.45       // a higher ratio of failures is an outage
	maxMeanPause       = 8 * Second // longest mean pause of a limiter after a rejection, with many senders
	resentShare        = 1.0        // fraction of the messages of an outage that are sent again at the same time
	// assumedOutage is added to the time since an outage was detected, as the outage began earlier.
	assumedOutage         = 5 * Second
	maxUnsafeFailureRatio = 0.2 // unsafe messages first avoid an endpoint with a higher ratio of failures
	nearLimitBelow        = 0.5 // if a smaller fraction of the limit is unused, a rejection is due to the limit
	// outageOverloads rejections in a row indicate an outage if they span outageOverloadSpan, which is longer
	// than the time for which a limit that is used up within its window rejects all calls; in microseconds.
	outageOverloads    = 4
	outageOverloadSpan = 1500_000
	outageWait         = 2 * Second // a longer requested wait indicates an outage, not the window of a limit
	firstTrialInterval = 400_000    // microseconds from an outage to the first trial; doubled after each
	maxTrialInterval   = 2 * Second // longest interval between trials
	// removedRetention is how long the state of a removed endpoint is kept, as it may be listed again.
	removedRetention   = 60 * Second
	idleStateAge       = 4 * latencyHalfLife // the state of a destination without traffic is dropped after this
	slowEndpointFactor = 3.0                 // an endpoint slower than its fastest sibling by this is avoided
	slowEndpointRetry  = 4 * Second          // a slow endpoint is tried again this long after its last attempt
	connReuseInterval  = Second              // idle connections to endpoints called less often are closed
	expensiveConn      = 0.05                // from this Settings.ConnCost on, no idle connection is closed
	manySendersOver    = 16                  // one idle connection each of more senders may exhaust an endpoint
	// outageResets broken connections in a row, with no answer between them, indicate an outage.
	outageResets = 3
	// recentSuccess is how recent an answer must be for one refused connection not to indicate an outage.
	recentSuccess          = Second
	outageInvalidResponses = 4       // this many invalid responses in a row indicate an outage
	errorBackoff           = 100_000 // microseconds; pause of a message after an error, doubled each time

	// Snapshots, priorities, load shedding, the endpoint list and logs.

	healthChangeInterval = Second      // least time between two snapshots of a destination if its health changed
	stateChangeInterval  = 10 * Second // least time between two snapshots otherwise
	quotaHalfLife        = 5 * Second  // half-life of the count of a tenant's messages
	lossHorizon          = Second      // messages are ordered by the worth that they lose by waiting this long
	minUsualLatency      = 10_000      // lower bound of the expected latency, in microseconds
	// maxVisits is the number of destinations that one step visits; the next step visits the others first. It
	// also bounds the messages that a cursor passes over.
	maxVisits = 256
	// Load shedding considers all queued messages up to shedExactMax; of more, shedSample messages of each of
	// shedSample groups.
	shedSample        = 64
	shedExactMax      = 2048
	inheritedPriority = 1e15 // above the priority of any other message and above any deadline
	lateWeight        = 0.4  // factor of the loss, in the priority of messages that are past their Aim
	// Above a pending ratio of shedLateAbove, messages end that cannot be sent in time at the present rate.
	// Accepted messages are exempt while more than the fraction protectedRemaining of their time is left.
	shedLateAbove      = 0.7
	protectedRemaining = 0.3
	shedLeastAbove     = 0.9       // above this pending ratio, the message of least priority ends
	maxListRetry       = 5_400_000 // longest time from a failed request for the list to the next, microseconds
	// listRetryJitter is the largest random fraction of maxListRetry by which the first retry comes earlier;
	// later retries use an eighth.
	listRetryJitter = 0.4
	maxLogLines     = 200                       // log lines that a Sender emits in its life
	never           = Micros(math.MaxInt64)     // later than any time
	distantPast     = Micros(math.MinInt64 / 2) // the time of an event that has not happened
)
