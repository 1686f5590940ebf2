// Package mtending judges whether an answer of a target is whole, by what marks its end and by
// what it holds.
//
// An answer ends with its length, with its last chunk or with its connection (RFC 9112, 6.3). A
// process that dies may end its connection in order, so that its end says little; a stream of
// events shows that it was broken off by ending inside an event, whatever marks its end.
package mtending

import (
	"errors"
	"io"
	"syscall"

	"github.com/mustardtide/mustardtide/internal/request/mtevents"
)

// Names of what marks an answer's end.
const (
	byLength     = "length"
	byChunks     = "chunks"
	byConnection = "connection"
)

// Names of what showed that an answer was broken off; byLength and byChunks are two more.
const (
	signReset      = "reset"
	signConnection = "connection"
	signEvent      = "event"
	signEmpty      = "empty"
	signBound      = "bound"
)

// Errors of streams whose connection or framing ended in order.
var (
	errInside = errors.New("the stream ended inside an event")
	errEmpty  = errors.New("the stream ended with its connection before its first event")
)

// Ending is one answer as far as it was read.
type Ending struct {
	framing string
	events  bool
	split   mtevents.Splitter
	sign    string
}

// New returns the judge of an answer of a length in bytes, below 0 where none is told, that may
// come in chunks, and that is a stream of server-sent events or not.
func New(length int64, chunked, events bool) *Ending {
	framing := byConnection
	switch {
	case chunked:
		framing = byChunks
	case length >= 0:
		framing = byLength
	}
	return &Ending{framing: framing, events: events}
}

// Take sees the next bytes. It returns how many of them lie before the last point among them
// at which no event is open; all of them where the answer is no stream of events.
func (e *Ending) Take(b []byte) int {
	if !e.events {
		return len(b)
	}
	return e.split.Take(b)
}

// End takes in the error with which reading ended, io.EOF where the framing or the connection
// ended in order. It returns nil where the answer is whole.
func (e *Ending) End(err error) error {
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		e.sign = e.framing
	case errors.Is(err, syscall.ECONNRESET):
		e.sign = signReset
	case !errors.Is(err, io.EOF):
		e.sign = signConnection
	case e.events && e.split.Open():
		e.sign = signEvent
		return errInside
	case e.events && e.split.Events() == 0 && e.framing == byConnection:
		e.sign = signEmpty
		return errEmpty
	default:
		return nil
	}
	return err
}

// Cut takes in that reading was ended as the answer passed a bound.
func (e *Ending) Cut() { e.sign = signBound }

// Events is how many events have ended.
func (e *Ending) Events() int { return e.split.Events() }

// Framing names what marks the answer's end: length, chunks or connection.
func (e *Ending) Framing() string { return e.framing }

// Sign names what showed that the answer was broken off, "" where nothing did: length or
// chunks that did not come, a reset or another failure of the connection, an open event, a
// stream without any, or a bound that was passed.
func (e *Ending) Sign() string { return e.sign }
