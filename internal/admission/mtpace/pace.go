// Package mtpace keeps how slowly the model engines of a service have answered of late.
package mtpace

import (
	"sync"
	"time"
)

const (
	// period is the time after which what was slowest is forgotten, at the latest after another.
	period = 15 * time.Second
	// minTokens is the least number of tokens whose pace is representative.
	minTokens = 8
)

// Pace is one service's. The zero value is ready for use. It is safe for concurrent use.
type Pace struct {
	mu sync.Mutex
	// since is when the current period began; before is the slowest of the one before it.
	since           time.Time
	current, before slowest
}

// slowest are the longest times to a first token, and for each further one.
type slowest struct{ start, token time.Duration }

// Started records the time from a request to its first token.
func (p *Pace) Started(took time.Duration) { p.record(slowest{start: took}) }

// Streamed records the time in which so many tokens came after the first. It reports false, and records
// nothing, if they are too few.
func (p *Pace) Streamed(took time.Duration, tokens int) bool {
	if tokens < minTokens {
		return false
	}
	p.record(slowest{token: took / time.Duration(tokens)})
	return true
}

// Slowest returns the longest recent time to a first token, and the longest recent mean time for each
// further one. Both are 0 if it is not known.
func (p *Pace) Slowest() (start, token time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn()
	return max(p.current.start, p.before.start), max(p.current.token, p.before.token)
}

func (p *Pace) record(s slowest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn()
	p.current.raise(s)
}

// turn begins a new period if the current one is over.
func (p *Pace) turn() {
	switch age := time.Since(p.since); {
	case age < period:
		return
	case age < 2*period:
		p.before = p.current
	default:
		p.before = slowest{}
	}
	p.current, p.since = slowest{}, time.Now()
}

func (s *slowest) raise(other slowest) {
	s.start, s.token = max(s.start, other.start), max(s.token, other.token)
}
