// Package mtsearch collects the answers to a lookup of a stream's origin.
package mtsearch

import (
	"slices"
	"sync"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Search is one lookup. It is safe for concurrent use.
type Search struct {
	mu      sync.Mutex
	pending []string
	mixed   bool
	builds  []string
	origin  *fleetv1.Origin
	from    string
	done    chan struct{}
	ended   bool
}

// New returns a lookup at some replicas, which is done at once where there are none.
func New(replicas []string) *Search {
	s := &Search{pending: slices.Clone(replicas), done: make(chan struct{})}
	s.finish()
	return s
}

// Take adds a replica's answer. Answers of others, and repeated ones, are ignored.
func (s *Search) Take(from string, found *fleetv1.Found) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.pending, from)
	if at < 0 || s.ended {
		return
	}
	s.pending = slices.Delete(s.pending, at, at+1)
	s.mixed = s.mixed || found.GetMixed()
	if build := found.GetOnly(); build != "" && !slices.Contains(s.builds, build) {
		s.builds = append(s.builds, build)
	}
	if found.GetOrigin() != nil {
		s.origin, s.from = found.GetOrigin(), from
	}
	s.finish()
}

// finish ends the search once an origin was found or all replicas have answered.
func (s *Search) finish() {
	if !s.ended && (s.origin != nil || len(s.pending) == 0) {
		s.ended = true
		close(s.done)
	}
}

// Done is closed once an origin was found or all have answered.
func (s *Search) Done() <-chan struct{} { return s.done }

// Pending lists the replicas that have not answered.
func (s *Search) Pending() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.pending)
}

// Origin is the origin found and the replica that returned it; nil for none.
func (s *Search) Origin() (origin *fleetv1.Origin, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origin, s.from
}

// Builds lists what replicas name as the only build that may have begun the stream.
func (s *Search) Builds() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.builds)
}

// Mixed reports whether a replica knows of several builds that may have begun the stream.
func (s *Search) Mixed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mixed
}
