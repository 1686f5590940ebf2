// Package mtsearch asks several processes for a stream's origin until one of them knows it.
package mtsearch

import (
	"slices"
	"sync"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Search is one question. It is safe for concurrent use.
type Search struct {
	mu     sync.Mutex
	silent []string
	heard  int
	mixed  bool
	origin *fleetv1.Origin
	from   string
	done   chan struct{}
	ended  bool
}

// New returns a question to some processes, which has ended where there are none.
func New(asked []string) *Search {
	s := &Search{silent: slices.Clone(asked), done: make(chan struct{})}
	s.settle()
	return s
}

// Take takes in a process's answer. One that was not asked, or has answered, is not heard.
func (s *Search) Take(from string, found *fleetv1.Found) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.silent, from)
	if at < 0 || s.ended {
		return
	}
	s.silent = slices.Delete(s.silent, at, at+1)
	s.heard++
	s.mixed = s.mixed || found.GetMixed()
	if found.GetOrigin() != nil {
		s.origin, s.from = found.GetOrigin(), from
	}
	s.settle()
}

// settle ends the search where an origin was found or nobody is silent.
func (s *Search) settle() {
	if !s.ended && (s.origin != nil || len(s.silent) == 0) {
		s.ended = true
		close(s.done)
	}
}

// Done is closed once an origin was found or all have answered.
func (s *Search) Done() <-chan struct{} { return s.done }

// Silent lists those that have not answered.
func (s *Search) Silent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.silent)
}

// Origin is what was found, and by whom; nil for nothing.
func (s *Search) Origin() (origin *fleetv1.Origin, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origin, s.from
}

// Heard is how many have answered.
func (s *Search) Heard() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// Mixed says that one of them knows of more than one build that may have begun the stream.
func (s *Search) Mixed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mixed
}
