// Package mtbody reads request bodies into pieces, so that a body that grows is never held twice.
package mtbody

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

const (
	// firstPiece is allocated at first for a body of untold length, toldPiece at most for one whose
	// length was told: most requests fit. Each further piece is as large as all before it, up to
	// maxPiece.
	firstPiece = 4 << 10
	toldPiece  = 16 << 10
	maxPiece   = 64 << 10
)

// ErrLarge is the error of a body over its limit.
var ErrLarge = errors.New("the body is over the configured limit")

// Body is a request's whole body. The zero value and nil are empty ones.
type Body struct {
	pieces [][]byte
	size   int64
	held   int64
}

// Account is told of the memory that a body takes.
type Account interface {
	// Grow is called before n bytes are allocated; its error ends the reading.
	Grow(n int64) error
	// Progress is called after each read that brought bytes.
	Progress()
}

// Read reads a body up to its end. length is the one that was told, -1 for none. The error is
// ErrLarge for a body of over limit bytes, and otherwise that of the account or the reader.
func Read(from io.Reader, length, limit int64, account Account) (*Body, error) {
	if length > limit {
		return nil, ErrLarge
	}
	b := &Body{}
	for {
		piece, err := b.allocate(length, limit, account)
		if err != nil {
			return nil, err
		}
		n, err := fill(from, piece, account)
		b.size += int64(n)
		if n > 0 {
			b.pieces = append(b.pieces, piece[:n])
		}
		switch {
		case b.size > limit:
			return nil, ErrLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// allocate returns the next piece.
func (b *Body) allocate(length, limit int64, account Account) ([]byte, error) {
	first, end := int64(firstPiece), limit
	if length >= 0 {
		first, end = toldPiece, length
	}
	// One byte more shows the end of the body, or that it is over the limit.
	size := min(max(first, b.held), maxPiece, end-b.size+1)
	if err := account.Grow(size); err != nil {
		return nil, err
	}
	b.held += size
	return make([]byte, size), nil
}

// fill reads until the piece is full or the reader ends.
func fill(from io.Reader, piece []byte, account Account) (int, error) {
	filled := 0
	for filled < len(piece) {
		n, err := from.Read(piece[filled:])
		filled += n
		if n > 0 {
			account.Progress()
		}
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// Size is the body's length in bytes.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Held is how many bytes are allocated for it.
func (b *Body) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held
}

// Pieces are the body's bytes in order; they must not be changed.
func (b *Body) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return slices.Clip(b.pieces)
}

// String says how large the body is.
func (b *Body) String() string {
	return fmt.Sprintf("%d bytes in %d pieces", b.Size(), len(b.Pieces()))
}
