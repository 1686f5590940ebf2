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
		writeField(hash, field)
	}
	return Component(hash.Sum64() | wholeBit)
}

// WholeInPieces is Whole where the last field is the pieces of a body.
func WholeInPieces(body [][]byte, fields ...[]byte) Component {
	hash := xxh3.New()
	for _, field := range fields {
		writeField(hash, field)
	}
	writeField(hash, body...)
	return Component(hash.Sum64() | wholeBit)
}

// writeField hashes the length of a field and its pieces.
func writeField(hash *xxh3.Hasher, pieces ...[]byte) {
	var size uint64
	for _, piece := range pieces {
		size += uint64(len(piece))
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], size)
	_, _ = hash.Write(length[:]) // A hash never fails.
	for _, piece := range pieces {
		_, _ = hash.Write(piece)
	}
}

// IsWhole reports whether the component is a whole request.
func (c Component) IsWhole() bool { return c&wholeBit != 0 }

// String returns the hash in hexadecimal.
func (c Component) String() string { return strconv.FormatUint(uint64(c), 16) }
