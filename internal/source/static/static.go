// Package static is the source of endpoints that a configuration lists.
package static

import (
	"context"
	"sync"

	"cometrack/internal/core"
)

// Source publishes one list until it is replaced.
type Source struct {
	mu      sync.Mutex
	list    core.EndpointList
	version int
	publish func(core.EndpointUpdate)
}

// New returns a source of a complete list.
func New(list core.EndpointList) *Source { return &Source{list: list, version: 1} }

// Watch passes the list, and each one that replaces it, to publish. Further calls of Watch do nothing.
func (s *Source) Watch(_ context.Context, publish func(core.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.publish == nil {
		s.publish = publish
		s.notify()
	}
}

// Set replaces the list with another complete one.
func (s *Source) Set(list core.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	s.version++
	s.notify()
}

// notify publishes the list, in a goroutine of its own since the core may be in the call
// that led here. s.mu must be held.
func (s *Source) notify() {
	if s.publish != nil {
		go s.publish(core.EndpointUpdate{List: s.list, Epoch: s.version})
	}
}

// AcceptUpdate reports whether the published list is still the current one.
func (s *Source) AcceptUpdate(u core.EndpointUpdate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.Epoch == s.version
}

// Version returns 0, since a list from a file has no generation.
func (s *Source) Version() int64 { return 0 }
