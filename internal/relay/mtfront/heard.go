package mtfront

import (
	"sync"
	"time"
)

// heard is the time at which some knowledge has left the store. The zero value is ready
// for use.
type heard struct {
	mu   sync.Mutex
	last time.Time
}

// note takes in knowledge of an age.
func (h *heard) note(age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = time.Now().Add(-age)
}

// age is how long ago that was; 0 where nothing was heard.
func (h *heard) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.IsZero() {
		return 0
	}
	return time.Since(h.last)
}
