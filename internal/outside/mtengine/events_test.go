package mtengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// recorder keeps the marks that the events say are held.
type recorder struct {
	held    map[[mtchain.MarkSize]byte]bool
	gaps    int
	unknown int
}

func newRecorder() *recorder { return &recorder{held: map[[mtchain.MarkSize]byte]bool{}} }

func (r *recorder) Opened(context.Context) error { return nil }

func (r *recorder) Stored(mark [mtchain.MarkSize]byte) { r.held[mark] = true }

func (r *recorder) Removed(mark [mtchain.MarkSize]byte) {
	if !r.held[mark] {
		r.unknown++
	}
	delete(r.held, mark)
}

func (r *recorder) Gap() {
	r.gaps++
	clear(r.held)
}

// stored is an event of blocks of 64 bytes behind a parent.
func stored(seq, parent uint64, first, count uint64) string {
	e := cacheEvent{Seq: seq, Type: "BlockStored", Parent: parent, Salt: "salt"}
	for i := range count {
		e.Hashes = append(e.Hashes, first+i)
		for j := range 16 {
			e.Tokens = append(e.Tokens, uint32(first+i)*16+uint32(j))
		}
	}
	line, _ := json.Marshal(e)
	return "data: " + string(line)
}

// FuzzCacheEvents reads any stream: nothing is removed that was not stored, and
// what was said before a gap counts no more.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(stored(1, 0, 1, 8) + "\n\n" + stored(2, 8, 9, 8) + "\n" + `data: {"seq":3,"type":"BlockRemoved","block_hashes":[4,8,8,77]}`))
	f.Add([]byte(stored(1, 0, 1, 4) + "\n" + stored(1, 0, 1, 4) + "\n" + stored(5, 4, 5, 4) + "\n" + `data: {"seq":6,"type":"AllBlocksCleared"}`))
	f.Add([]byte(`data: {"seq":1,"type":"BlockStored","block_hashes":[1,2,3],"token_ids":[1]}`))
	f.Add([]byte("data: {\"seq\":-1}\n: comment\ndata: [DONE]\ndata: "))
	f.Add([]byte(`data: {"seq":18446744073709551615,"type":"BlockStored","parent_block_hash":3}`))
	f.Fuzz(func(t *testing.T, stream []byte) {
		to := newRecorder()
		read := &follower{reader: to, labels: newLabels(64, 4)}
		for line := range bytes.Lines(stream) {
			if read.line(bytes.TrimRight(line, "\n")) != nil {
				break
			}
		}
		if to.unknown > 0 {
			t.Fatalf("%d marks removed that were not stored", to.unknown)
		}
	})
}

// A chain of the prompt and the labels of the engine's events must agree, or
// no prompt ever matches and each is computed anew.
func TestEventsNameTheMarksOfPrompts(t *testing.T) {
	g := NewWithT(t)
	to := newRecorder()
	read := &follower{reader: to, labels: newLabels(64, 4)}
	g.Expect(read.line([]byte(stored(1, 0, 1, 8)))).To(Succeed())
	g.Expect(read.line([]byte(stored(2, 8, 9, 8)))).To(Succeed())
	var prompt []byte
	for i := range uint64(16) {
		var ids []uint32
		for j := range uint32(16) {
			ids = append(ids, uint32(1+i)*16+j)
		}
		prompt = append(prompt, detokenize(ids)...)
	}
	chain := mtchain.New("salt", 64, 4, prompt)
	g.Expect(chain.Len()).To(Equal(4))
	for i := range chain.Len() {
		g.Expect(to.held).To(HaveKey(chain.At(i)))
	}
	other := mtchain.New("another account", 64, 4, prompt)
	for i := range other.Len() {
		g.Expect(to.held).NotTo(HaveKey(other.At(i)))
	}
}

// An engine that never tells of removals fills the sidecar's memory until it is
// killed. The labels are bounded: they start anew with a gap.
func TestLabelsAreBounded(t *testing.T) {
	g := NewWithT(t)
	to := newRecorder()
	read := &follower{reader: to, labels: newLabels(64, 4)}
	const blocks = 4096
	for i := range uint64(maxLabels/blocks + 2) {
		event := cacheEvent{Seq: i + 1, Type: "BlockStored", Salt: fmt.Sprint(i), Tokens: make([]uint32, blocks*16)}
		for j := range uint64(blocks) {
			event.Hashes = append(event.Hashes, 1+i*blocks+j)
		}
		read.take(&event)
	}
	g.Expect(len(read.labels.links)).To(BeNumerically("<=", maxLabels))
	g.Expect(to.gaps).To(Equal(1))
}
