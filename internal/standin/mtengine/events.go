package mtengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// keptEvents bounds the cache events that a late reader can still get; one who
// asks for older ones sees a gap in the sequence.
const keptEvents = 10000

// cacheEvent is one change of the cache, in the form that open model servers
// publish: blocks stored behind a parent, or removed.
type cacheEvent struct {
	Seq    uint64   `json:"seq"`
	Type   string   `json:"type"`
	Hashes []uint64 `json:"block_hashes"`
	Parent uint64   `json:"parent_block_hash,omitempty"`
	Tokens []uint32 `json:"token_ids,omitempty"`
	Salt   string   `json:"cache_salt,omitempty"`
}

// events keeps the newest cache events under the engine's lock.
type events struct {
	seq  uint64
	kept []cacheEvent
	wake chan struct{}
}

// reset starts a new incarnation's sequence; the readers of the old one end with
// their connections.
func (v *events) reset() {
	v.seq, v.kept = 0, nil
	close(v.wake)
	v.wake = make(chan struct{})
}

func (v *events) add(e cacheEvent) {
	v.seq++
	e.Seq = v.seq
	v.kept = append(v.kept, e)
	if len(v.kept) > keptEvents {
		v.kept = v.kept[len(v.kept)-keptEvents:]
	}
	close(v.wake)
	v.wake = make(chan struct{})
}

// stored publishes the blocks of a prompt from the first that was not cached.
func (v *events) stored(salt string, prompt []byte, blocks []uint64, matched int) {
	if matched == len(blocks) {
		return
	}
	e := cacheEvent{Type: "BlockStored", Hashes: blocks[matched:], Salt: salt}
	if matched > 0 {
		e.Parent = blocks[matched-1]
	}
	e.Tokens = tokenIDs(prompt[matched*blockBytes : len(blocks)*blockBytes])
	v.add(e)
}

func (v *events) removed(evicted []uint64) {
	if len(evicted) > 0 {
		v.add(cacheEvent{Type: "BlockRemoved", Hashes: evicted})
	}
}

func (v *events) after(seq uint64) ([]cacheEvent, <-chan struct{}) {
	for i, e := range v.kept {
		if e.Seq > seq {
			return v.kept[i:], v.wake
		}
	}
	return nil, v.wake
}

// follow streams cache events after the sequence number given in the query.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		e.mu.Lock()
		news, wake := e.events.after(seq)
		e.mu.Unlock()
		for _, n := range news {
			encoded, _ := json.Marshal(n)
			if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
				return
			}
			seq = n.Seq
		}
		_ = control.Flush()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}
