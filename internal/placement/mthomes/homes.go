// Package mthomes assigns every prefix a stable order of home targets.
//
// Homes cover the restart of many entries at once. Their memory is empty then,
// and without homes each would send a long shared prefix to a different target,
// which would compute it again. All entries that know the same targets find the
// same homes without communicating.
//
// A rendezvous hash over all targets would cost 2,700 hashes per request at the
// fleet size that the project is designed for. Instead, a lookup table is filled
// at each change of the membership (the method of Maglev, Eisenbud et al., NSDI
// 2016), and a request costs one table lookup per home, regardless of the number
// of targets.
package mthomes

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// tableSize is the number of slots in the table. It is a prime, and the same for every
// fleet: if it grew with the fleet, each change of the size would move every prefix.
// 2,700 targets get 24 slots each, which keeps the largest share within 5 % of the
// mean. The table takes 256 KB per service.
const tableSize = 65537

// maxExtraProbes bounds the additional lookups made to find distinct homes.
const maxExtraProbes = 16

// Homes is the lookup table for one set of targets. It is immutable.
type Homes struct {
	table   []int32
	targets int
}

// New returns the homes for the targets with the given names. Home i is the
// target names[i]; all entries must pass the names in the same order.
func New(names []string) *Homes {
	h := &Homes{targets: len(names)}
	if len(names) == 0 {
		return h
	}
	h.table = make([]int32, tableSize)
	for i := range h.table {
		h.table[i] = -1
	}
	h.fill(names)
	return h
}

// fill assigns the slots to the targets in turns. Each target takes the next free
// slot of its own permutation, so that few slots of other targets change when a
// target joins or leaves.
func (h *Homes) fill(names []string) {
	next := make([]uint64, len(names))
	step := make([]uint64, len(names))
	for i, name := range names {
		sum := xxh3.HashString128(name)
		next[i] = sum.Lo % tableSize
		step[i] = sum.Hi%(tableSize-1) + 1
	}
	for filled := 0; ; {
		for i := range names {
			for h.table[next[i]] >= 0 {
				next[i] = (next[i] + step[i]) % tableSize
			}
			h.table[next[i]] = int32(i)
			filled++
			if filled == tableSize {
				return
			}
		}
	}
}

// Append appends the first n homes of a mark, all different, to list. It appends
// fewer if there are fewer targets or its lookups run out.
func (h *Homes) Append(list []int32, mark [mtchain.MarkSize]byte, n int) []int32 {
	n = min(n, h.targets)
	start := len(list)
	slot := binary.LittleEndian.Uint64(mark[:8])
	step := binary.LittleEndian.Uint64(mark[8:])%(tableSize-1) + 1
	for probe := 0; len(list)-start < n && probe < n+maxExtraProbes; probe++ {
		list = appendUnique(list, start, h.table[slot%tableSize])
		slot = slot%tableSize + step
	}
	return list
}

func appendUnique(list []int32, start int, home int32) []int32 {
	for _, known := range list[start:] {
		if known == home {
			return list
		}
	}
	return append(list, home)
}

// Bytes returns the size of the table in bytes.
func (h *Homes) Bytes() int { return 4 * len(h.table) }
