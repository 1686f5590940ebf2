// Package mtpause tracks targets that asked for a pause when they rejected a request.
package mtpause

import "time"

// Pauses are the ones requested of one process. It is not safe for concurrent use.
type Pauses struct {
	until map[string]time.Time
}

// New returns a list of none.
func New() *Pauses { return &Pauses{until: map[string]time.Time{}} }

// Add records a pause. Of two for the same target the one that ends last holds. It reports
// whether the target was not paused before.
func (p *Pauses) Add(target string, pause time.Duration) bool {
	until := time.Now().Add(pause)
	news := p.Remaining(target) == 0
	if news {
		p.prune()
	}
	if until.After(p.until[target]) {
		p.until[target] = until
	}
	return news
}

// prune drops pauses that are over.
func (p *Pauses) prune() {
	for target := range p.until {
		if p.Remaining(target) == 0 {
			delete(p.until, target)
		}
	}
}

// Remaining is how long the target's pause still lasts; 0 for none.
func (p *Pauses) Remaining(target string) time.Duration {
	until, asked := p.until[target]
	if !asked {
		return 0
	}
	return max(0, time.Until(until))
}
