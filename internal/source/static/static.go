// Package static is the source for endpoints that a configuration names.
package static

import (
	"context"
	"sync"

	"cometrack/internal/core"
)

// Source tells one list until it is given another.
type Source struct {
	mu      sync.Mutex
	list    core.EndpointList
	version int
	tell    func(core.EndpointUpdate)
}

// New makes a source of a whole list.
func New(list core.EndpointList) *Source { return &Source{list: list, version: 1} }

// Watch tells the list, and each that follows.
func (s *Source) Watch(_ context.Context, tell func(core.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tell == nil {
		s.tell = tell
		s.news()
	}
}

// Set puts another whole list in the place of the one before.
func (s *Source) Set(list core.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	s.version++
	s.news()
}

// news tells the list; in a goroutine of its own, since the core may be busy with
// the call that brought it here.
func (s *Source) news() {
	if s.tell != nil {
		go s.tell(core.EndpointUpdate{List: s.list, Epoch: s.version})
	}
}

// AcceptUpdate says whether no list has followed the one that was told.
func (s *Source) AcceptUpdate(n core.EndpointUpdate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.Epoch == s.version
}

// Version is 0: a list of a file has no generation.
func (s *Source) Version() int64 { return 0 }
