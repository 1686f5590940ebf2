// Package mtresume keeps what a caller has of a stream with which another target may go on.
package mtresume

import (
	"slices"

	"github.com/mustardtide/mustardtide/internal/request/mtevents"
)

const (
	// maxEvent bounds in bytes what is held of one event.
	maxEvent = 256 << 10
	// smallEvent is the size up to which the buffer grows step by step. Beyond it the buffer gets
	// its full size, as each step holds the former buffer too.
	smallEvent = 64 << 10
)

// Resume is one caller's stream over the runs that bring it. Callers get whole events only, so
// that another run can go on after the last of them.
type Resume struct {
	last []byte
	held []byte
	// passed is how many of the held bytes the caller has.
	passed int
	torn   bool
}

// New returns the stream of a caller that has all up to the event with an id, "" for nothing.
func New(last string) *Resume { return &Resume{last: []byte(last)} }

// Begin forgets the open event of a run that broke off: the bytes of another run come now.
func (r *Resume) Begin() { r.held, r.passed = r.held[:0], 0 }

// Take takes in a run's next bytes, the first of which, up to the number closed, lie before the
// last point at which no event is open. It returns what the caller gets now, which is valid
// until the next call.
//
// An event that is too long to be held is passed on in parts; the stream can't be resumed from
// then on.
func (r *Resume) Take(b []byte, closed int) []byte {
	if r.torn {
		return b
	}
	r.held = append(r.held[:0], r.held[r.passed:]...)
	r.passed = 0
	if closed > 0 {
		r.passed = len(r.held) + closed
	}
	r.reserve(len(b))
	r.held = append(r.held, b...)
	if len(r.held)-r.passed > maxEvent {
		r.torn, r.passed = true, len(r.held)
	}
	now := r.held[:r.passed]
	if id := mtevents.LastID(now); id != nil {
		r.last = append(r.last[:0], id...)
	}
	return now
}

// reserve makes room for more bytes of a long event.
func (r *Resume) reserve(size int) {
	if needed := len(r.held) + size; needed > smallEvent && needed > cap(r.held) {
		r.held = slices.Grow(r.held, max(needed, maxEvent+size)-len(r.held))
	}
}

// Last is the id of the last event that the caller has, "" for none.
func (r *Resume) Last() string { return string(r.last) }

// Possible says that another run may go on with the stream.
func (r *Resume) Possible() bool { return !r.torn }
