// Package mtchain computes hashes that identify the prefixes of a prompt.
//
// A prompt is split into granules, as an engine splits it into cache blocks. The hash of each
// granule is a 128-bit hash over the previous granule's hash and the granule's bytes, so that
// it identifies the whole prefix up to that granule. The first one is seeded with a salt of
// account, model, weights version and adapter: prompts with different salts share no hash and
// can't match. Only every stride-th hash, called a mark, is kept and sent.
package mtchain

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// MarkSize is the size of a mark in bytes.
const MarkSize = 16

// BytesPerToken is the assumed number of prompt bytes per token. It is used to estimate tokens
// that the engine has not counted yet.
const BytesPerToken = 4

// Chain holds the marks of one prompt, shortest prefix first. It is immutable.
type Chain struct {
	marks []byte
	span  int
}

// New computes the chain of a prompt. granule is the size of the engine's cache block in bytes,
// and stride is the number of granules between two marks; both must be above zero. A remainder
// shorter than the span of a mark gets no mark, as engines cache whole blocks only.
func New(salt string, granule, stride int, prompt []byte) Chain {
	span := granule * stride
	return Append(make([]byte, 0, len(prompt)/span*MarkSize), salt, granule, stride, prompt)
}

// Append is like New but appends the marks to buffer, so that hot paths can reuse a buffer and
// allocate nothing.
func Append(buffer []byte, salt string, granule, stride int, prompt []byte) Chain {
	span := granule * stride
	hash := xxh3.HashString128(salt)
	for len(prompt) >= span {
		for range stride {
			hash = hashGranule(hash, prompt[:granule])
			prompt = prompt[granule:]
		}
		mark := hash.Bytes()
		buffer = append(buffer, mark[:]...)
	}
	return Chain{marks: buffer, span: span}
}

// FromBytes returns the chain with the given wire form. span is the number of prompt bytes per mark.
func FromBytes(marks []byte, span int) Chain {
	return Chain{marks: marks[:len(marks)/MarkSize*MarkSize], span: span}
}

// Salt returns the salt that separates cache entries that must not be shared: those of different
// accounts, models, weights versions or adapters.
func Salt(account, model, weights, adapter string) string {
	const separator = "\x00"
	return account + separator + model + separator + weights + separator + adapter
}

// RootHash returns the hash that precedes the first granule.
func RootHash(salt string) [MarkSize]byte {
	return xxh3.HashString128(salt).Bytes()
}

// NextHash returns the hash of a granule, given the hash of the previous granule.
func NextHash(hash [MarkSize]byte, granule []byte) [MarkSize]byte {
	previous := xxh3.Uint128{Hi: binary.BigEndian.Uint64(hash[:8]), Lo: binary.BigEndian.Uint64(hash[8:])}
	return hashGranule(previous, granule).Bytes()
}

// hashGranule works on integers, so that hot paths convert only the marks to bytes.
func hashGranule(hash xxh3.Uint128, granule []byte) xxh3.Uint128 {
	sum := xxh3.Hash128Seed(granule, hash.Hi)
	sum.Lo ^= hash.Lo
	return sum
}

// Len returns the number of marks.
func (c Chain) Len() int { return len(c.marks) / MarkSize }

// Span returns the number of prompt bytes per mark.
func (c Chain) Span() int { return c.span }

// At returns the i-th mark, from 0.
func (c Chain) At(i int) [MarkSize]byte {
	return [MarkSize]byte(c.marks[i*MarkSize:])
}

// Bytes returns the wire form, which the caller must not modify.
func (c Chain) Bytes() []byte { return c.marks }
