// Package mthomes assigns every prefix a stable order of home targets.
//
// It answers a herd of restarting entries: their memory is empty, and without
// homes each would compute a dossier anew on another target. All entries that
// know the same targets find the same homes, with no word between them.
//
// A rendezvous hash over all targets costs 2,700 hashes a request at the size
// the project builds towards. Instead a lookup table is filled once for each
// change of the membership (the method of Maglev, Eisenbud et al., NSDI 2016)
// and a request costs one hash per home, however many targets there are.
package mthomes

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// slots is the size of the table, a prime, the same for every fleet: a size
// that grew with the fleet would move every prefix when it changed. It gives
// 2,700 targets 24 slots each, which keeps the largest share within 5 % of the
// mean, and costs 256 KB for a service.
const slots = 65537

// tries bounds the search for a home that differs from those found before.
const tries = 16

// Homes is the table for one set of targets. It is immutable.
type Homes struct {
	table []int32
	count int
}

// New fills the table for the targets of the given names. Home i stands for
// names[i]; the order of names must not differ between entries.
func New(names []string) *Homes {
	h := &Homes{count: len(names)}
	if len(names) == 0 {
		return h
	}
	h.table = make([]int32, slots)
	for i := range h.table {
		h.table[i] = -1
	}
	h.fill(names)
	return h
}

// fill lets the targets take turns; each takes the next free slot of its own
// permutation, so that a target's coming or going moves few other slots.
func (h *Homes) fill(names []string) {
	next := make([]uint64, len(names))
	step := make([]uint64, len(names))
	for i, name := range names {
		sum := xxh3.HashString128(name)
		next[i] = sum.Lo % slots
		step[i] = sum.Hi%(slots-1) + 1
	}
	for filled := 0; ; {
		for i := range names {
			for h.table[next[i]] >= 0 {
				next[i] = (next[i] + step[i]) % slots
			}
			h.table[next[i]] = int32(i)
			filled++
			if filled == slots {
				return
			}
		}
	}
}

// Append appends the first n homes of a mark, all different, to list. It gives
// fewer where there are fewer targets.
func (h *Homes) Append(list []int32, mark [mtchain.MarkSize]byte, n int) []int32 {
	n = min(n, h.count)
	start := len(list)
	slot := binary.LittleEndian.Uint64(mark[:8])
	step := binary.LittleEndian.Uint64(mark[8:])%(slots-1) + 1
	for try := 0; len(list)-start < n && try < n+tries; try++ {
		list = appendNew(list, start, h.table[slot%slots])
		slot = slot%slots + step
	}
	return list
}

func appendNew(list []int32, start int, home int32) []int32 {
	for _, known := range list[start:] {
		if known == home {
			return list
		}
	}
	return append(list, home)
}

// Bytes is the size of the table.
func (h *Homes) Bytes() int { return 4 * len(h.table) }
