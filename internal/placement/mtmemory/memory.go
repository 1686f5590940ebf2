// Package mtmemory remembers on which targets prefixes were last seen.
//
// It answers prompts that were placed away from their homes, because the homes
// were busy: without it the next prompt of the same dossier looks at the homes
// only and is computed anew. It is a hint; the target's own word decides.
package mtmemory

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// Shape of the table. 16,384 sets of 4 ways hold 65,536 marks in 3 MB, against
// 256 MB for a node: at 60 requests a second and entry, and a dozen marks a
// request, that is 90 seconds of marks that are all new. Engines evict blocks
// within seconds.
const (
	sets    = 16384
	ways    = 4
	stripes = 64
	// Holders is the number of targets remembered for a mark. A hot prefix
	// that more targets hold needs no memory to be found.
	Holders = 4
)

// keep is how long a sighting is worth a look.
const keep = 2 * time.Minute

// sighting is one mark and the targets that held it, newest first.
type sighting struct {
	tag     uint64
	seen    int64
	count   tally
	targets [Holders]uint32
}

// Memory is bounded. It is safe for concurrent use.
type Memory struct {
	locks [stripes]sync.Mutex
	table []sighting

	counting sync.Mutex
	all      tally
}

// New returns an empty memory.
func New() *Memory { return &Memory{table: make([]sighting, sets*ways)} }

func place(mark [mtchain.MarkSize]byte) (tag uint64, set int) {
	tag = binary.LittleEndian.Uint64(mark[:8])
	return tag, int(binary.LittleEndian.Uint64(mark[8:]) % sets)
}

// See remembers that a target, which is not 0, holds a mark.
func (m *Memory) See(mark [mtchain.MarkSize]byte, target uint32) {
	tag, set := place(mark)
	lock := &m.locks[set%stripes]
	lock.Lock()
	defer lock.Unlock()
	now := time.Now().UnixNano()
	entry := oldest(m.table[set*ways:(set+1)*ways], tag)
	if entry.tag != tag {
		*entry = sighting{tag: tag}
	}
	entry.seen = now
	entry.count.add(now)
	entry.push(target)
}

// oldest returns the mark's entry, or the one to give up for it.
func oldest(entries []sighting, tag uint64) *sighting {
	victim := &entries[0]
	for i := range entries {
		if entries[i].tag == tag {
			return &entries[i]
		}
		if entries[i].seen < victim.seen {
			victim = &entries[i]
		}
	}
	return victim
}

// push puts a target in front of the list.
func (s *sighting) push(target uint32) {
	for i := range s.targets {
		if s.targets[i] == target || i == Holders-1 {
			copy(s.targets[1:i+1], s.targets[:i])
			break
		}
	}
	s.targets[0] = target
}

// Count counts a request, for shares.
func (m *Memory) Count() {
	m.counting.Lock()
	defer m.counting.Unlock()
	m.all.add(time.Now().UnixNano())
}

// Requests is the number of requests of late.
func (m *Memory) Requests() float64 {
	m.counting.Lock()
	defer m.counting.Unlock()
	return m.all.now(time.Now().UnixNano())
}

// Sightings is the number of requests of late that had a mark.
func (m *Memory) Sightings(mark [mtchain.MarkSize]byte) float64 {
	tag, set := place(mark)
	lock := &m.locks[set%stripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		if entry.tag == tag {
			return entry.count.now(time.Now().UnixNano())
		}
	}
	return 0
}

// Forget drops a target from a mark: it turned out not to hold it.
func (m *Memory) Forget(mark [mtchain.MarkSize]byte, target uint32) {
	tag, set := place(mark)
	lock := &m.locks[set%stripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		if entry.tag == tag {
			entry.drop(target)
		}
	}
}

func (s *sighting) drop(target uint32) {
	for i := range s.targets {
		if s.targets[i] == target {
			copy(s.targets[i:], s.targets[i+1:])
			s.targets[Holders-1] = 0
			return
		}
	}
}

// Find returns the targets that were seen with a mark, newest first, 0 for
// none, and how long ago the last sighting was.
func (m *Memory) Find(mark [mtchain.MarkSize]byte) (targets [Holders]uint32, age time.Duration) {
	tag, set := place(mark)
	lock := &m.locks[set%stripes]
	lock.Lock()
	defer lock.Unlock()
	for i := range m.table[set*ways : (set+1)*ways] {
		entry := &m.table[set*ways+i]
		age = time.Duration(time.Now().UnixNano() - entry.seen)
		if entry.tag == tag && age < keep {
			return entry.targets, age
		}
	}
	return targets, 0
}
