package core

import (
	"context"
	"net"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/journal"
	"cometrack/internal/message"
	"cometrack/logic"
)

// Front receives messages from clients and submits them through [Core.Submit] between Listen and the return of
// Shutdown.
type Front interface {
	// Listen opens the listener, unless AdoptListener has provided one. Clients are not served yet.
	Listen() error
	// AdoptListener offers a listener that the predecessor has opened. It is called before Listen and reports
	// whether the listener has the front's own address; otherwise the front does not use it.
	AdoptListener(ln net.Listener) bool
	// Listener returns the front's listener; valid after Listen.
	Listener() net.Listener
	// Addr returns the address of the listener; valid after Listen.
	Addr() net.Addr
	// Serve accepts and serves clients until CloseListener.
	Serve()
	// DisableKeepAlives sets whether each connection is closed as soon as no request is in progress on it. New
	// connections are still accepted, for one request each.
	DisableKeepAlives(on bool)
	// CloseListener stops accepting connections.
	CloseListener()
	// Shutdown closes each client connection once no request is in progress on it, and returns when all are closed
	// or ctx is done. If hurry is set, requests that are partly received have little time left to arrive.
	Shutdown(ctx context.Context, hurry bool)
}

// Transport makes attempts to deliver messages to endpoints.
type Transport interface {
	// Attempt makes one attempt and returns its only outcome. It calls [Attempt.Begin] before the first byte of the
	// message is written, and writes nothing if that returns false. Cancelling ctx cancels the attempt, but its
	// outcome stays accurate: [logic.Overloaded], [logic.ConnectionRefused] and [logic.NotSent] only if the message
	// was not processed, [logic.Completed] only if it was. As far as the transport can ensure it, the endpoint no
	// longer works on the attempt when Attempt returns, so that the next attempt may begin at once.
	Attempt(ctx context.Context, a *Attempt) Result
	// Batch makes attempts of several messages at one endpoint, in one call where possible, and returns the result
	// of each in the order of the attempts. The rules of Attempt apply to each of them; an attempt that may not
	// begin is left out of the call. The shortest timeout applies to the call.
	Batch(ctx context.Context, call []*Attempt) []Result
	// Probe checks the health of an endpoint.
	Probe(ctx context.Context, ep logic.EndpointID, addr string) logic.Outcome
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep logic.EndpointID)
	// CloseStale closes idle connections that can't be used any more. It is called about once a second.
	CloseStale()
}

// Result is the result of an attempt.
type Result struct {
	Outcome       logic.Outcome
	RequestedWait time.Duration // delay requested in the response, such as Retry-After; applies with any outcome
	MessageEnded  bool          // the endpoint has declared that the message has ended
	LocalFailure  bool          // nothing was sent for lack of a local resource
	Load          []float64     // load values reported in the response, in the order of the settings; nil if none
}

// Endpoint is one endpoint of a partner in a source's list.
type Endpoint struct {
	Name    string // unique, and constant for the endpoint's lifetime
	Addr    string // may change; empty keeps the last address
	Zone    string
	Kind    string
	Partner string
	State   logic.Readiness
	Weight  float64 // the partner's rate in calls per second over all senders; 0 if unknown
}

// EndpointList is a list of endpoints or of changes to such a list. Complete distinguishes the two.
type EndpointList struct {
	Complete  bool // endpoints that are not in the list are gone; otherwise the list holds changes only
	Endpoints []Endpoint
	Share     float64 // share of each partner's rate on which the weights are based; see [Dependencies.AllowedShare]
}

// EndpointUpdate is an update of the endpoint list by a source.
type EndpointUpdate struct {
	List EndpointList
	// Epoch and Version identify the origin of the update to its source.
	Epoch   int
	Version int64
}

// Source lists the endpoints of the partners.
type Source interface {
	// Watch starts to follow the endpoints, unless it has been started before. It passes updates to handle, in order,
	// until ctx is done. The source retries failed requests itself.
	Watch(ctx context.Context, handle func(EndpointUpdate))
	// AcceptUpdate reports whether an update that Watch has passed on is still valid. The core calls it right
	// before it applies the update, and applies it if the result is true.
	AcceptUpdate(update EndpointUpdate) bool
	// Version returns the version of the last accepted update; 0 if there was none.
	Version() int64
}

// Observation is an observation of an endpoint by this sender or by a peer.
type Observation struct {
	Partner       string
	Endpoint      string        // the endpoint's name
	RequestedWait time.Duration // the endpoint has requested a wait that ends this long from now
	Outage        bool          // the endpoint is in outage
	Recovered     bool          // the endpoint has answered a call that was started after its outage was known
	// TrialIntervalFactor is, in an observation by peers, the factor by which this sender has to lengthen the
	// interval between its trials during an outage, which the peers test too; 0 for 1.
	TrialIntervalFactor int
	// CausalMark identifies what peers had published when the observation was received. It is returned with the
	// observations that this sender makes of the endpoint afterwards.
	CausalMark uint64
}

// Peers are the senders with which observations are shared.
type Peers interface {
	// Publish sends an observation of this sender to the peers. It does not block.
	Publish(Observation)
	// Receive passes the observations of the peers to handle, in order, until ctx is done.
	Receive(ctx context.Context, handle func([]Observation))
}

// EndSink reports how messages ended.
type EndSink interface {
	// Add queues the end of a message, whose body may be missing. It does not block.
	Add(m *message.Message, e message.End)
	// Run reports the queued ends until ctx is done, and confirms those that were received. Unconfirmed ends are
	// added again after a restart.
	Run(ctx context.Context, confirm func(ids []string))
}

// Store keeps the state that must survive a restart. [journal.Journal] is the implementation; see there for the
// methods without a comment.
type Store interface {
	Append(recs []journal.Record) error
	Reserve(body int) bool
	Entry(id string) *journal.Entry
	Entries() []*journal.Entry
	Ended(id string) *journal.Ended
	// Body reads a body that is not kept in memory. It is safe for concurrent use with all other methods.
	Body(id string) ([]byte, error)
	UnsavedEnds() []*journal.Ended
	AddUnsavedEnds(list []*journal.Ended)
	Waits() map[string]int64
	SetTermsInForce(inForce journal.TermsInForce) (accepting int64, err error)
	TermsInForce() journal.TermsInForce
	Terms(n int64) *journal.Terms
	// SetTermsInUse keeps the terms whose numbers list returns, which messages outside the store refer to.
	SetTermsInUse(list func() []int64)
	// HasLeftBacklog reports whether the message with a sequence number has left the backlog. MaxBacklogSeq returns the largest
	// known sequence number.
	HasLeftBacklog(seq uint64) bool
	MaxBacklogSeq() uint64
	// PruneLeftBacklog drops the records of sequence numbers of which the backlog holds nothing any more.
	PruneLeftBacklog(lives func(first, last uint64) bool)
	Partners() map[string]*journal.Partner
	// DropExpired drops ended messages whose retention has expired by now, a time of Clock.
	DropExpired(now int64)
	// Clock returns the clock of all times in the store.
	Clock() *clock.Clock
	Len() int
	Close() error
}
