package mtbeside

const (
	// maxPeers bounds the entries that a state names: others come with the next, and
	// the entries name themselves to those they know.
	maxPeers = 4
	// shiftLeast is the change in pending tokens of which entries are told at once:
	// about 50 ms of an engine's reading, which changes a choice.
	shiftLeast = 1500
	// maxShifted bounds the entries that are told of it at once; in a larger fleet
	// the others hear with the answer to their next hello, so that what a sidecar
	// sends does not grow with the entries.
	maxShifted = 12
)

func (s *Sidecar) heardLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries.Live() > 0
}

// shifted says that the pending tokens have changed much since the entries were
// told.
func (s *Sidecar) shifted() bool {
	change := s.entries.Pending("") - s.spread
	return change >= shiftLeast || change <= -shiftLeast
}
