// Package mtpause keeps for how long targets want no requests, as they say where they
// turn one away.
package mtpause

import "time"

// Pauses are those that targets have asked one process for. It is not safe for concurrent
// use.
type Pauses struct {
	until map[string]time.Time
}

// New returns a list of none.
func New() *Pauses { return &Pauses{until: map[string]time.Time{}} }

// Ask takes in that a target wants nothing for a time. Of two pauses the one that ends
// last holds. It reports whether the target was not paused before.
func (p *Pauses) Ask(target string, pause time.Duration) bool {
	until := time.Now().Add(pause)
	news := p.Left(target) == 0
	if news {
		p.prune()
	}
	if until.After(p.until[target]) {
		p.until[target] = until
	}
	return news
}

// prune drops pauses that are over, so that targets which are gone do not stay.
func (p *Pauses) prune() {
	for target := range p.until {
		if p.Left(target) == 0 {
			delete(p.until, target)
		}
	}
}

// Left is how long the target's pause still lasts; 0 for none.
func (p *Pauses) Left(target string) time.Duration {
	until, asked := p.until[target]
	if !asked {
		return 0
	}
	return max(0, time.Until(until))
}
