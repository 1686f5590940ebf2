// Package mtcomponent identifies what requests may have in common: a part of their prompts, or
// all that they ask for.
package mtcomponent

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Component is the hash of a part of a prompt or of a whole request.
type Component uint64

// wholeBit tells whole requests from parts.
const wholeBit = 1

// Part returns the component of the part with an id. Ids are hexadecimal numbers, so that case
// and leading zeros don't matter.
func Part(id string) Component {
	id = strings.TrimLeft(strings.ToLower(strings.TrimSpace(id)), "0")
	return Component(xxh3.HashString(id) &^ wholeBit)
}

// Whole returns the component of a request, given all that tells it from others.
func Whole(fields ...[]byte) Component {
	hash := xxh3.New()
	for _, field := range fields {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // A hash never fails.
		_, _ = hash.Write(field)
	}
	return Component(hash.Sum64() | wholeBit)
}

// IsWhole reports whether the component is a whole request.
func (c Component) IsWhole() bool { return c&wholeBit != 0 }

// String returns the hash in hexadecimal.
func (c Component) String() string { return strconv.FormatUint(uint64(c), 16) }
