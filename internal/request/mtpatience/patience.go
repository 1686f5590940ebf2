// Package mtpatience bounds how long, and for how many bytes, a stream of events may go on
// without a whole event.
package mtpatience

import (
	"errors"
	"time"
)

const (
	// leastSpan, objectives and gaps are how long callers wait for the next event of a stream before
	// they abandon it: the longest of the three.
	leastSpan  = 2 * time.Second
	objectives = 4
	gaps       = 8
	// maxBytes is how many bytes of a stream may come without a whole event.
	maxBytes = 256 << 10
)

// Errors of a stream that passed a bound.
var (
	ErrLate = errors.New("no whole event within the callers' patience")
	ErrLong = errors.New("no whole event within 256 KB")
)

// Patience is that with one stream. Time in which nobody waits for the stream, as its caller
// reads slowly, does not count, nor does the time of a target that sends nothing: a silent target
// may go on, one that sends bytes without an event is out of order.
type Patience struct {
	span   time.Duration
	waited time.Duration
	bytes  int
}

// New returns the patience with a stream of a route with a latency objective and an allowed
// gap, 0 for none.
func New(objective, gap time.Duration) *Patience {
	return &Patience{span: max(leastSpan, objectives*objective, gaps*gap)}
}

// Span is how long bytes may come without a whole event.
func (p *Patience) Span() time.Duration { return p.span }

// Take takes in that size bytes came after a wait. ended says that a whole event ended among
// them; rest is then how many of them lie behind it. It returns ErrLate or ErrLong where a
// bound was passed.
func (p *Patience) Take(wait time.Duration, size int, ended bool, rest int) error {
	if ended {
		p.waited, p.bytes = 0, rest
		return nil
	}
	if p.bytes > 0 {
		p.waited += wait
	}
	p.bytes += size
	switch {
	case p.bytes > maxBytes:
		return ErrLong
	case p.waited >= p.span:
		return ErrLate
	default:
		return nil
	}
}
