package mtbeside

import "time"

func (s *Sidecar) heardLately() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live() > 0
}

// live counts the entries heard of late and forgets the others.
func (s *Sidecar) live() int {
	for from, e := range s.entries {
		if time.Since(e.last) > entryTime {
			delete(s.entries, from)
		}
	}
	return len(s.entries)
}

// maxPeers bounds the entries that a state names: others come with the next, and
// the entries name themselves to those they know.
const maxPeers = 4

// peers names some live entries, drawn by the map's order.
func (s *Sidecar) peers() []string {
	var list []string
	for from := range s.entries {
		if len(list) == maxPeers {
			break
		}
		list = append(list, from)
	}
	return list
}

// entry is what the sidecar knows of one entry.
type entry struct {
	last    time.Time
	pending int64
	// far says that it greets seldom, and sees little of the engine's queue.
	far bool
}

// heardNear says that some entry which greets often was heard of late: it sees the
// queue of loads move, and its word on the engine's turn goes before the others'.
func (s *Sidecar) heardNear() bool {
	for _, e := range s.entries {
		if !e.far && time.Since(e.last) <= entryTime {
			return true
		}
	}
	return false
}

// given are the tokens that the entry has given the engine to read.
func (e *entry) given() int64 {
	if e == nil {
		return 0
	}
	return e.pending
}

// pending are the tokens that all entries have given the engine to read.
func (s *Sidecar) pending() int64 {
	var total int64
	for _, e := range s.entries {
		total += e.pending
	}
	return total
}

// shiftLeast is the change in pending tokens of which entries are told at once:
// about 50 ms of an engine's reading, which changes a choice.
const shiftLeast = 1500

// maxShifted bounds the entries that are told of it at once; in a larger fleet
// the others hear with the answer to their next hello, so that what a sidecar
// sends does not grow with the entries.
const maxShifted = 12

// shifted says that the pending tokens have changed much since the entries were
// told.
func (s *Sidecar) shifted() bool {
	change := s.pending() - s.spread
	return change >= shiftLeast || change <= -shiftLeast
}
