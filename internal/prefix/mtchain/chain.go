// Package mtchain names the shared prefixes of a prompt.
//
// A prompt is cut into granules, as an engine cuts it into cache blocks. Each
// granule's link is the 128-bit hash of the link before it and the granule's
// bytes, so that a link names the whole prefix up to it. The first link hangs
// on a salt of account, model, weights version and adapter: prompts under
// different salts share no link, so that a match across them can't exist.
// Only every stride-th link, a mark, is kept and sent.
package mtchain

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// MarkSize is the size of a mark in bytes.
const MarkSize = 16

// TokenBytes turns bytes of prompt into tokens where the engine has not counted
// them yet.
const TokenBytes = 4

// Chain holds the marks of one prompt, shallowest first. It is immutable.
type Chain struct {
	marks []byte
	span  int
}

// New computes the chain of a prompt. granule is the engine's cache block in
// bytes, stride the number of granules between two marks; both must be above
// zero. A rest shorter than a mark's span has no mark: engines cache whole
// blocks only.
func New(salt string, granule, stride int, prompt []byte) Chain {
	span := granule * stride
	return Append(make([]byte, 0, len(prompt)/span*MarkSize), salt, granule, stride, prompt)
}

// Append is New with the marks' memory given; a warm path passes a used
// buffer and allocates nothing.
func Append(buffer []byte, salt string, granule, stride int, prompt []byte) Chain {
	span := granule * stride
	link := xxh3.HashString128(salt)
	for len(prompt) >= span {
		for range stride {
			link = follow(link, prompt[:granule])
			prompt = prompt[granule:]
		}
		mark := link.Bytes()
		buffer = append(buffer, mark[:]...)
	}
	return Chain{marks: buffer, span: span}
}

// From takes a chain out of a message; span is the bytes of prompt per mark.
func From(marks []byte, span int) Chain {
	return Chain{marks: marks[:len(marks)/MarkSize*MarkSize], span: span}
}

// Salt keeps apart what may not be shared: another account's cache entries,
// and those of another model, older weights or another adapter.
func Salt(account, model, weights, adapter string) string {
	const separator = "\x00"
	return account + separator + model + separator + weights + separator + adapter
}

// Root is the link before the first granule.
func Root(salt string) [MarkSize]byte {
	return xxh3.HashString128(salt).Bytes()
}

// Next is the link of a granule behind the link before it.
func Next(link [MarkSize]byte, granule []byte) [MarkSize]byte {
	before := xxh3.Uint128{Hi: binary.BigEndian.Uint64(link[:8]), Lo: binary.BigEndian.Uint64(link[8:])}
	return follow(before, granule).Bytes()
}

// follow is Next on numbers: a warm path turns only marks into bytes.
func follow(link xxh3.Uint128, granule []byte) xxh3.Uint128 {
	sum := xxh3.Hash128Seed(granule, link.Hi)
	sum.Lo ^= link.Lo
	return sum
}

// Len is the number of marks.
func (c Chain) Len() int { return len(c.marks) / MarkSize }

// Span is the bytes of prompt per mark.
func (c Chain) Span() int { return c.span }

// At returns the i-th mark, from 0.
func (c Chain) At(i int) [MarkSize]byte {
	return [MarkSize]byte(c.marks[i*MarkSize:])
}

// Bytes gives the wire form; the caller must not change it.
func (c Chain) Bytes() []byte { return c.marks }
