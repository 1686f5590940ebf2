// Package mtstart decides how long a request waits at an entry that has just started.
//
// It handles a simultaneous restart of all entries under load. Each entry needs up to a second
// or two to receive its configuration and its first targets. A caller that is refused in that
// time retries once, reaches another entry that is still starting, and fails.
package mtstart

import (
	"context"
	"sync"
	"time"
)

const (
	// maxStartTime is the longest that a start takes while the store answers. After it, the
	// missing state may take long to arrive, so requests no longer wait.
	maxStartTime = 1500 * time.Millisecond
	// maxWait bounds the wait of one request: a caller whose request is not read within a
	// second gives up on the entry.
	maxWait = 900 * time.Millisecond
	// waitDivisor limits the wait to a fraction of the caller's remaining time: the rest is
	// left for a retry.
	waitDivisor = 4
)

// Startup tracks the start-up of one process. It is safe for concurrent use.
type Startup struct {
	ready    func() bool
	deadline time.Time

	mu      sync.Mutex
	changed chan struct{}
}

// New returns a start that begins now. ready reports whether the process knows enough to
// serve requests.
func New(ready func() bool) *Startup {
	return &Startup{ready: ready, deadline: time.Now().Add(maxStartTime), changed: make(chan struct{})}
}

// NotifyChange makes waiting requests check readiness again. It does nothing once the start-up
// period is over, as no request waits any more.
func (s *Startup) NotifyChange() {
	if time.Now().After(s.deadline) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next notification.
func (s *Startup) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Await returns when the process is ready, when ctx ends, or when the wait limit is reached.
// left is the time until the caller's deadline.
func (s *Startup) Await(ctx context.Context, left time.Duration) {
	wait := min(time.Until(s.deadline), maxWait, left/waitDivisor)
	if wait <= 0 || s.ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		// Get the channel before the check, so that no notification in between is missed.
		changed := s.nextChange()
		if s.ready() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
