package mtengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

const (
	tokenBytes   = 4
	maxCacheLine = 8 << 20
)

// cacheEvent is one entry of the engine's cache event stream.
type cacheEvent struct {
	Seq    uint64   `json:"seq"`
	Type   string   `json:"type"`
	Hashes []uint64 `json:"block_hashes"`
	Parent uint64   `json:"parent_block_hash"`
	Tokens []uint32 `json:"token_ids"`
	Salt   string   `json:"cache_salt"`
}

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
		at, known = link{hash: mtchain.Root(e.Salt)}, true
	}
	text := detokenize(e.Tokens)
	if !known || len(text) < len(e.Hashes)*l.granule {
		return
	}
	for i, block := range e.Hashes {
		at = link{hash: mtchain.Next(at.hash, text[i*l.granule:(i+1)*l.granule]), depth: at.depth + 1}
		l.links[block] = at
		if at.depth%l.stride == 0 {
			each(at.hash)
		}
	}
}

// Follow reads cache events until ctx ends or the stream breaks. Events that
// come twice are dropped; gap is called where numbers are missing, before the
// event behind them.
func (e *Engine) Follow(ctx context.Context, granule, stride int, stored, removed func([mtchain.MarkSize]byte), gap func()) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/kv_events?after=0", e.base), http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the engine's cache events can't be reached")
	}
	defer response.Body.Close()
	known := &labels{granule: granule, stride: stride, links: map[uint64]link{}}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxCacheLine)
	var seq uint64
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var event cacheEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return trace.BadParameter("the engine sent a broken cache event: %v", err)
		}
		if event.Seq <= seq {
			continue
		}
		if event.Seq != seq+1 {
			clear(known.links)
			gap()
		}
		seq = event.Seq
		known.apply(&event, stored, removed)
	}
	return trace.ConnectionProblem(lines.Err(), "the engine's cache events ended")
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
