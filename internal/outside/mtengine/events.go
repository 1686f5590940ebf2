package mtengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// maxCacheLine bounds one event: a prompt of a million tokens, ten characters
// each.
const maxCacheLine = 10 << 20

// cacheEvent is one entry of the engine's cache event stream.
type cacheEvent struct {
	Seq    uint64   `json:"seq"`
	Type   string   `json:"type"`
	Hashes []uint64 `json:"block_hashes"`
	Parent uint64   `json:"parent_block_hash"`
	Tokens tokenIDs `json:"token_ids"`
	Salt   string   `json:"cache_salt"`
}

// reader takes in what a cache event stream says, one call at a time.
type reader interface {
	// Opened is called once, before the first event; its error ends the stream.
	Opened(ctx context.Context) error
	// Stored and Removed are called for each mark.
	Stored(mark [mtchain.MarkSize]byte)
	Removed(mark [mtchain.MarkSize]byte)
	// Gap is called where events are missing or too many blocks are known:
	// nothing of what came before may be relied on.
	Gap()
}

// follower is the state of one cache event stream.
type follower struct {
	reader reader
	labels *labels
	seq    uint64
}

// Follow reads cache events until ctx ends or the stream breaks. granule is the
// engine's block in bytes of prompt, stride the number of granules between two
// marks.
func (e *Engine) Follow(ctx context.Context, granule, stride int, to reader) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/kv_events?after=0", e.base), http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "the engine's cache events can't be reached")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.NotFound("the engine has no cache events: %s", response.Status)
	}
	if err := to.Opened(ctx); err != nil {
		return trace.Wrap(err)
	}
	f := &follower{reader: to, labels: newLabels(granule, stride)}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxCacheLine)
	for lines.Scan() {
		if err := f.line(lines.Bytes()); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.ConnectionProblem(lines.Err(), "the engine's cache events ended")
}

// line takes one line of the stream.
func (f *follower) line(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return nil
	}
	var event cacheEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return trace.BadParameter("the engine sent a broken cache event: %v", err)
	}
	f.take(&event)
	return nil
}

// take applies one event. Events that come twice are dropped; missing numbers
// are a gap, which is told before the event behind it.
func (f *follower) take(event *cacheEvent) {
	if event.Seq <= f.seq {
		return
	}
	if event.Seq != f.seq+1 || f.labels.full() {
		clear(f.labels.links)
		f.reader.Gap()
	}
	f.seq = event.Seq
	f.labels.apply(event, f.reader.Stored, f.reader.Removed)
}
