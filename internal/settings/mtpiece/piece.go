// Package mtpiece cuts a settings file into content-addressed pieces, so that
// a change of one client account among 12,000 moves a few kilobytes instead of
// the whole file. The joined pieces are the file, byte for byte.
package mtpiece

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/zeebo/xxh3"
)

// Sizes of pieces. A change moves one piece and the manifest, which names each
// piece in 18 bytes: at 2.4 MB of accounts of 200 bytes the sum is least near
// 6.5 KB a piece, 32 entries. maxPiece bounds a piece whose entries are large
// or happen to have no cut between them.
const (
	meanEntries = 32
	maxPiece    = 64 << 10
	digestSize  = 16
)

// Piece is a part of one file. It is immutable.
type Piece struct {
	digest string
	text   []byte
}

// New returns the piece of a text.
func New(text []byte) Piece {
	return Piece{digest: Digest(text), text: text}
}

// Named returns the piece of a text whose digest was verified before.
func Named(digest string, text []byte) Piece { return Piece{digest: digest, text: text} }

// Digest names a text: the first 16 bytes of its SHA-256, in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestSize])
}

// Digest is the piece's name.
func (p Piece) Digest() string { return p.digest }

// Text is the piece's part of the file; the caller must not change it.
func (p Piece) Text() []byte { return p.text }

// Cut splits a file between entries of its top-level lists. Whether a cut
// stands before an entry depends on that entry's first line alone: an entry
// that is added, changed or removed leaves all other pieces as they were.
func Cut(text []byte) []Piece {
	var pieces []Piece
	start, at := 0, 0
	entries := &scanner{}
	for line := range bytes.Lines(text) {
		if entries.next(line) && at > start && (marked(line) || at-start > maxPiece) {
			pieces = append(pieces, New(text[start:at]))
			start = at
		}
		at += len(line)
	}
	return append(pieces, New(text[start:]))
}

// List returns the top-level list that is open at the end of a piece, given
// the one open at its start; "" if none is.
func List(open string, piece Piece) string {
	entries := &scanner{list: open, inside: open != ""}
	for line := range bytes.Lines(piece.text) {
		entries.next(line)
	}
	return entries.list
}

// marked chooses one of meanEntries lines by its content.
func marked(line []byte) bool {
	return xxh3.Hash(bytes.TrimSpace(line))%meanEntries == 0
}

// scanner finds the first lines of the entries of top-level lists in block
// style. Lists in flow style have none and stay in one piece.
type scanner struct {
	list   string
	indent int
	inside bool
}

// next takes one line and says whether a cut may stand before it: an entry
// begins there that is not its list's first. A key and its first entry stay
// together, since a key alone has no value.
func (s *scanner) next(line []byte) bool {
	trimmed := bytes.TrimLeft(line, " ")
	indent := len(line) - len(trimmed)
	switch {
	case len(bytes.TrimSpace(line)) == 0 || trimmed[0] == '#':
		return false
	case bytes.HasPrefix(trimmed, []byte("- ")):
		if s.list == "" || s.inside && indent != s.indent {
			return false
		}
		first := !s.inside
		s.inside, s.indent = true, indent
		return !first
	case indent == 0:
		s.open(trimmed)
	}
	return false
}

// open notes the key of a top-level line; only one without a value on its line
// can begin a list in block style.
func (s *scanner) open(line []byte) {
	key, rest, _ := bytes.Cut(line, []byte(":"))
	s.list, s.inside = "", false
	if value := bytes.TrimSpace(rest); len(value) == 0 || value[0] == '#' {
		s.list = string(key)
	}
}
