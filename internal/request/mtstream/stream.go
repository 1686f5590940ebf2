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

// Take checks a frame and returns its new payload. A frame of another run or
// attempt is a late or crossed answer and gives trace.BadParameter; a frame
// behind a hole, or a finish at another offset, gives trace.CompareFailed; what was received before is cut off.
func (s *Stream) Take(f *mustardtidev1.Frame) ([]byte, error) {
	if f.GetRun() != s.run || f.GetAttempt() != s.attempt {
		return nil, trace.BadParameter("a frame of run %s attempt %d came on run %s attempt %d", f.GetRun(), f.GetAttempt(), s.run, s.attempt)
	}
	if f.GetOffset() > s.offset {
		return nil, trace.CompareFailed("a frame at %d came after %d bytes", f.GetOffset(), s.offset)
	}
	if f.GetFinish() != nil && f.GetOffset() != s.offset {
		return nil, trace.CompareFailed("the answer ended at %d after %d bytes", f.GetOffset(), s.offset)
	}
	data := f.GetData()
	known := s.offset - f.GetOffset()
	if known >= uint64(len(data)) {
		return nil, nil
	}
	data = data[known:]
	s.offset += uint64(len(data))
	return data, nil
}
