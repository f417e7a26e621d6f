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

// Front takes messages in from clients. Between Listen and the return of
// Shutdown it submits them through [Core.Submit].
type Front interface {
	// Listen opens the listener, unless Use has given one. Nothing is served before.
	Listen() error
	// AdoptListener gives a listener that another process has listened on, before Listen. It
	// says whether that is the front's own address; if not, it is not taken.
	AdoptListener(ln net.Listener) bool
	// Listener is what it listens on; valid after Listen.
	Listener() net.Listener
	// Addr is where it listens; valid after Listen.
	Addr() net.Addr
	// Serve takes clients until CloseListener.
	Serve()
	// DisableKeepAlives says whether connections are to be closed once no request is under way
	// on them. New ones are taken all the same, for one request.
	DisableKeepAlives(on bool)
	// CloseListener ends the taking of new clients.
	CloseListener()
	// Shutdown closes each client's connection once no request is under way on
	// it, and returns when all are closed or ctx is over. With hurry, requests that
	// have begun to come have little time left.
	Shutdown(ctx context.Context, hurry bool)
}

// Transport makes attempts.
type Transport interface {
	// Attempt makes one attempt and returns its one outcome. It calls
	// [Attempt.Begin] before the first byte of the message goes out and sends
	// nothing if that says no. When ctx is cancelled the attempt is called off;
	// its outcome still tells the truth: [logic.Overloaded], [logic.ConnectionRefused] and
	// [logic.NotSent] only if it never ran, [logic.Completed] only if it did. When
	// Attempt returns, the attempt is over for the peer too as far as a transport
	// can see to that: the next one may begin at once.
	Attempt(ctx context.Context, a *Attempt) Result
	// Batch makes attempts of several messages at one endpoint that travel as one
	// call where it can, and returns the outcome of each. What holds for Attempt
	// holds for each of them; one that may not begin is left out of the call. The
	// call has the least of their times.
	Batch(ctx context.Context, call []*Attempt) []Result
	// Probe asks an endpoint whether it is well.
	Probe(ctx context.Context, ep logic.EndpointID, addr string) logic.Outcome
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep logic.EndpointID)
	// CloseStale closes idle connections that are no good any more; it is called about
	// once a second.
	CloseStale()
}

// Result is how an attempt ended.
type Result struct {
	Outcome       logic.Outcome
	RequestedWait time.Duration // told by the answer; it binds whatever the outcome
	MessageEnded  bool          // the peer says that the message is over
	LocalFailure  bool          // nothing was sent for want of something at this end
	Load          []float64     // what the answer reports of the load, in the order of the settings; nil for nothing
}

// Endpoint is one endpoint of a partner as a source names it.
type Endpoint struct {
	Name    string // unique, and the same for the endpoint's life
	Addr    string // may change; empty leaves it as it is
	Zone    string
	Kind    string
	Partner string
	State   logic.Readiness
	Weight  float64 // the partner's rate in calls a second over all senders; 0 if not told
}

// EndpointList is news of the endpoints.
type EndpointList struct {
	Complete  bool // what is not in it is gone; else changes only
	Endpoints []Endpoint
	Share     float64 // of each partner's rate that the weights are made for; see [Dependencies.AllowedShare]
}

// EndpointUpdate is what a source has to tell.
type EndpointUpdate struct {
	List EndpointList
	// Epoch and Version are the source's own marks of where the news came from.
	Epoch   int
	Version int64
}

// Source tells which endpoints there are.
type Source interface {
	// Watch begins to follow the endpoints, unless it does so already. News come
	// through tell, in order, until ctx is over. That single calls for them fail is
	// the source's own affair: it goes on asking.
	Watch(ctx context.Context, tell func(EndpointUpdate))
	// AcceptUpdate says whether news that Watch has told are still good. The core asks
	// right before it uses them.
	AcceptUpdate(n EndpointUpdate) bool
	// Version is the mark of the last news that were taken; 0 if there were none.
	Version() int64
}

// Observation is what a sender has learnt of an endpoint, itself or from another one.
type Observation struct {
	Partner             string
	Endpoint            string        // its name
	RequestedWait       time.Duration // it has told to be left alone for so long from now
	Outage              bool          // it is out
	Recovered           bool          // it has answered again, to a call that was begun when that was known
	TrialIntervalFactor int           // heard: how many times more rarely than one alone it is to try it while it is out; 0 for 1
	// CausalMark stands for what others had told when this was heard, and comes back with
	// what was found since.
	CausalMark uint64
}

// Peers are senders with which observations are shared.
type Peers interface {
	// Publish has the others told what this sender has learnt itself. It never waits.
	Publish(Observation)
	// Receive has what others have learnt handed to take, in order, until ctx is over.
	Receive(ctx context.Context, take func([]Observation))
}

// EndSink is told how messages ended.
type EndSink interface {
	// Add takes the end of a message, whose body may be gone; it never waits.
	Add(m *message.Message, e message.End)
	// Run passes ends on until ctx is over. It confirms those that have been
	// heard; what is not confirmed is added again after a restart.
	Run(ctx context.Context, confirm func(ids []string))
}

// Store keeps what must outlive the process. [journal.Journal] is one.
type Store interface {
	Append(recs []journal.Record) error
	Reserve(body int) bool
	Entry(id string) *journal.Entry
	Entries() []*journal.Entry
	Ended(id string) *journal.Ended
	// Body reads back a body that an entry tells to be left in the store. It may be
	// called beside all else.
	Body(id string) ([]byte, error)
	UnsavedEnds() []*journal.Ended
	AddUnsavedEnds(list []*journal.Ended)
	Waits() map[string]int64
	AddTerms(t journal.Terms) (n int64, rec *journal.Record, err error)
	Terms(n int64) *journal.Terms
	// SetTermsInUse has terms kept that messages elsewhere are held to.
	SetTermsInUse(list func() []int64)
	// HasLeftBacklog says whether the message of a number is no longer behind its window;
	// MaxBacklogSeq is the largest number that is known of.
	HasLeftBacklog(seq uint64) bool
	MaxBacklogSeq() uint64
	// PruneLeftBacklog drops what is known of numbers that nothing is left of.
	PruneLeftBacklog(lives func(first, last uint64) bool)
	Partners() map[string]*journal.Partner
	// DropExpired drops what is remembered no longer; now is a time of Clock.
	DropExpired(now int64)
	// Clock is the clock that all times in the store are of.
	Clock() *clock.Clock
	Len() int
	Close() error
}
