// Package mtmemory remembers which targets were last seen with a prefix.
//
// A prompt is sent to a target that is not one of its homes when the homes are
// busy. Without the memory, the next prompt with the same prefix would be offered
// to the homes only and computed again. The memory is a hint: what the target
// itself answers takes precedence.
package mtmemory

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// The table is set-associative. 16,384 sets of 4 ways hold 65,536 marks in 3 MB; the
// memory budget of a node is 256 MB. At 60 requests per second and entry, and a dozen
// marks per request, it holds the marks of 90 seconds even if all of them are new.
// Engines evict blocks within seconds.
const (
	sets        = 16384
	ways        = 4
	lockStripes = 64
	// MaxHolders is the number of targets remembered per mark. A hot prefix that more
	// targets hold is found without the memory.
	MaxHolders = 4
)

// sightingTTL is how long a sighting is returned by lookups.
const sightingTTL = 2 * time.Minute

// sighting is one mark and the targets that were seen with it, newest first.
type sighting struct {
	tag      uint64
	lastSeen int64
	requests decayingCounter
	targets  [MaxHolders]uint32
}

// Memory is a table of sightings of fixed size. It is safe for concurrent use.
type Memory struct {
	locks [lockStripes]sync.Mutex
	table []sighting

	requestsMu sync.Mutex
	requests   decayingCounter
}

// New returns an empty memory.
func New() *Memory { return &Memory{table: make([]sighting, sets*ways)} }

func locate(mark [mtchain.MarkSize]byte) (tag uint64, set int) {
	tag = binary.LittleEndian.Uint64(mark[:8])
	return tag, int(binary.LittleEndian.Uint64(mark[8:]) % sets)
}

// Record records that a target, which is not 0, holds a mark.
func (m *Memory) Record(mark [mtchain.MarkSize]byte, target uint32) {
	tag, set := locate(mark)
	lock := &m.locks[set%lockStripes]
	lock.Lock()
	defer lock.Unlock()
	now := time.Now().UnixNano()
	entry := lookupOrVictim(m.table[set*ways:(set+1)*ways], tag)
	if entry.tag != tag {
		*entry = sighting{tag: tag}
	}
	entry.lastSeen = now
	entry.requests.add(now)
	entry.moveToFront(target)
}

// lookupOrVictim returns the entry with the tag, or the least recently seen one if there
// is none, for the caller to overwrite.
func lookupOrVictim(entries []sighting, tag uint64) *sighting {
	victim := &entries[0]
	for i := range entries {
		if entries[i].tag == tag {
			return &entries[i]
		}
		if entries[i].lastSeen < victim.lastSeen {
			victim = &entries[i]
		}
	}
	return victim
}

// moveToFront puts a target first in the list. The last one is dropped if the list is
// full.
func (s *sighting) moveToFront(target uint32) {
	for i := range s.targets {
		if s.targets[i] == target || i == MaxHolders-1 {
			copy(s.targets[1:i+1], s.targets[:i])
			break
		}
	}
	s.targets[0] = target
}

// CountRequest counts a request, so that a mark's share of all requests can be computed.
func (m *Memory) CountRequest() {
	m.requestsMu.Lock()
	defer m.requestsMu.Unlock()
	m.requests.add(time.Now().UnixNano())
}

// RecentRequests returns the number of recent requests, with older ones decayed.
func (m *Memory) RecentRequests() float64 {
	m.requestsMu.Lock()
	defer m.requestsMu.Unlock()
	return m.requests.value(time.Now().UnixNano())
}

// RecentRequestsFor returns the number of recent requests that had a mark, with older ones
// decayed.
func (m *Memory) RecentRequestsFor(mark [mtchain.MarkSize]byte) float64 {
	tag, set := locate(mark)
	lock := &m.locks[set%lockStripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		if entry.tag == tag {
			return entry.requests.value(time.Now().UnixNano())
		}
	}
	return 0
}

// Forget removes a target that turned out not to hold a mark.
func (m *Memory) Forget(mark [mtchain.MarkSize]byte, target uint32) {
	tag, set := locate(mark)
	lock := &m.locks[set%lockStripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		if entry.tag == tag {
			entry.remove(target)
		}
	}
}

func (s *sighting) remove(target uint32) {
	for i := range s.targets {
		if s.targets[i] == target {
			copy(s.targets[i:], s.targets[i+1:])
			s.targets[MaxHolders-1] = 0
			return
		}
	}
}

// Find returns the targets that were seen with a mark, newest first and padded with
// 0, and the time since the last sighting.
func (m *Memory) Find(mark [mtchain.MarkSize]byte) (targets [MaxHolders]uint32, age time.Duration) {
	tag, set := locate(mark)
	lock := &m.locks[set%lockStripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		age = time.Duration(time.Now().UnixNano() - entry.lastSeen)
		if entry.tag == tag && age < sightingTTL {
			return entry.targets, age
		}
	}
	return targets, 0
}
