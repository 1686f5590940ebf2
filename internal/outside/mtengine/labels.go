package mtengine

import (
	"encoding/binary"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

const (
	// tokenBytes is the size of a token in the engine's vocabulary.
	tokenBytes = 4
	// maxLabels bounds the blocks that are followed: three times the 78,000
	// that one of 2,700 engines holds of 210 million, in some 20 MB.
	maxLabels = 1 << 18
)

// link is where an engine's block stands in a prefix chain.
type link struct {
	hash  [mtchain.MarkSize]byte
	depth int
}

// labels maps the engine's block hashes to links of prefix chains.
type labels struct {
	granule int
	stride  int
	links   map[uint64]link
}

func newLabels(granule, stride int) *labels {
	return &labels{granule: granule, stride: stride, links: map[uint64]link{}}
}

// full says that the engine named more blocks than it can hold: it does not
// tell of removals, and its blocks would fill the sidecar's memory.
func (l *labels) full() bool { return len(l.links) >= maxLabels }

// mark returns the link of a block if it is a mark of the chain.
func (l *labels) mark(block uint64) ([mtchain.MarkSize]byte, bool) {
	at, known := l.links[block]
	return at.hash, known && at.depth%l.stride == 0
}

// store labels an event's blocks behind their parent and calls each for the
// marks among them. A block behind an unknown parent can't be labelled.
func (l *labels) store(e *cacheEvent, each func([mtchain.MarkSize]byte)) {
	at, known := l.links[e.Parent]
	if e.Parent == 0 {
		at, known = link{hash: mtchain.RootHash(e.Salt)}, true
	}
	text := detokenize(e.Tokens)
	if !known || len(text) < len(e.Hashes)*l.granule {
		return
	}
	for i, block := range e.Hashes {
		at = link{hash: mtchain.NextHash(at.hash, text[i*l.granule:(i+1)*l.granule]), depth: at.depth + 1}
		l.links[block] = at
		if at.depth%l.stride == 0 {
			each(at.hash)
		}
	}
}

func (l *labels) apply(e *cacheEvent, stored, removed func([mtchain.MarkSize]byte)) {
	switch e.Type {
	case "BlockStored":
		l.store(e, stored)
	case "BlockRemoved":
		for _, block := range e.Hashes {
			if mark, ok := l.mark(block); ok {
				removed(mark)
			}
			delete(l.links, block)
		}
	case "AllBlocksCleared":
		for block := range l.links {
			if mark, ok := l.mark(block); ok {
				removed(mark)
			}
		}
		clear(l.links)
	}
}

// detokenize gives the text of token ids; the stand-in's vocabulary is four
// bytes a token.
func detokenize(ids []uint32) []byte {
	text := make([]byte, 0, len(ids)*tokenBytes)
	for _, id := range ids {
		text = binary.LittleEndian.AppendUint32(text, id)
	}
	return text
}
