// Package mtstart decides how long a request waits at an entry that has just started.
//
// The pattern it answers: all entries start anew at the same moment while callers ask.
// Each needs up to a second or two for its configuration and its first targets. A caller
// that is refused meanwhile comes back once, to another entry that starts too, and is
// refused for good.
package mtstart

import (
	"context"
	"sync"
	"time"
)

const (
	// usual is how long a start takes at most where the store answers: beyond it, what is
	// missing may stay away for long, and callers are told so at once.
	usual = 1500 * time.Millisecond
	// longest bounds one request's wait: a caller whose request is not read within a second
	// gives the entry up.
	longest = 900 * time.Millisecond
	// part is the part of a caller's time that the wait may take: the rest is for coming
	// back.
	part = 4
)

// Start is the start of one process. It is safe for concurrent use.
type Start struct {
	known func() bool
	until time.Time

	mu   sync.Mutex
	told chan struct{}
}

// New returns a start that begins now; known says that enough is known to serve.
func New(known func() bool) *Start {
	return &Start{known: known, until: time.Now().Add(usual), told: make(chan struct{})}
}

// Tell lets those that wait look again; nobody does once the start is over.
func (s *Start) Tell() {
	if time.Now().After(s.until) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.told)
	s.told = make(chan struct{})
}

// next is closed at the next word.
func (s *Start) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

// Await returns when enough is known, or when a caller that has so much time left has
// waited long enough.
func (s *Start) Await(ctx context.Context, left time.Duration) {
	wait := min(time.Until(s.until), longest, left/part)
	if wait <= 0 || s.known() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		// Before the look, so that no word is missed in between.
		next := s.next()
		if s.known() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-next:
		}
	}
}
