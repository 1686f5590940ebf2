// Package mtstream checks that the frames of an answer belong to it and come
// in order.
package mtstream

import (
	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Stream is the receiving side of one attempt's answer.
type Stream struct {
	run     string
	attempt uint32
	offset  uint64
}

// New returns a stream that has received nothing.
func New(run string, attempt uint32) *Stream {
	return &Stream{run: run, attempt: attempt}
}

// Offset is the count of payload bytes received.
func (s *Stream) Offset() uint64 { return s.offset }

// Take checks a frame and returns its payload. A frame of another run or
// attempt is a late or crossed answer and gives trace.BadParameter. A payload
// or a finish at any offset but the one reached gives trace.CompareFailed: a
// sidecar sends from the offset that it was asked for, so a part of such a
// payload is no more to be trusted than the rest.
func (s *Stream) Take(f *mustardtidev1.Frame) ([]byte, error) {
	if f.GetRun() != s.run || f.GetAttempt() != s.attempt {
		return nil, trace.BadParameter("a frame of run %s attempt %d came on run %s attempt %d", f.GetRun(), f.GetAttempt(), s.run, s.attempt)
	}
	data := f.GetData()
	if (len(data) > 0 || f.GetFinish() != nil) && f.GetOffset() != s.offset {
		return nil, trace.CompareFailed("a frame at %d came after %d bytes", f.GetOffset(), s.offset)
	}
	s.offset += uint64(len(data))
	return data, nil
}
