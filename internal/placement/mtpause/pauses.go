// Package mtpause tracks the targets that requested a pause when they rejected a request.
package mtpause

import "time"

// Pauses holds the pauses requested from one process. It is not safe for concurrent use.
type Pauses struct {
	until map[string]time.Time
}

// New returns a Pauses without entries.
func New() *Pauses { return &Pauses{until: map[string]time.Time{}} }

// Add records a pause. Of two pauses of the same target, the one that ends later applies. It
// reports whether the target was not paused before.
func (p *Pauses) Add(target string, pause time.Duration) bool {
	until := time.Now().Add(pause)
	added := p.Remaining(target) == 0
	if added {
		p.prune()
	}
	if until.After(p.until[target]) {
		p.until[target] = until
	}
	return added
}

// prune removes expired pauses.
func (p *Pauses) prune() {
	for target := range p.until {
		if p.Remaining(target) == 0 {
			delete(p.until, target)
		}
	}
}

// Remaining returns how long the target's pause still lasts; 0 if it is not paused.
func (p *Pauses) Remaining(target string) time.Duration {
	until, found := p.until[target]
	if !found {
		return 0
	}
	return max(0, time.Until(until))
}
