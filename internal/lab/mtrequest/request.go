// Package mtrequest is one caller's request in the laboratory and what became
// of it.
package mtrequest

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// SpanTokens is the tokens of prompt per mark of the laboratory's chains: 16
// granules of 64 bytes, four bytes a token, as in the example settings.
const (
	SpanTokens = 256
	spanBytes  = 1024
)

// Request is what a caller asks for and, after the run, what it got.
type Request struct {
	at     time.Duration
	work   *mustardtidev1.Work
	chain  mtchain.Chain
	blocks []uint64
	loud   bool

	first   time.Duration
	end     time.Duration
	cached  uint64
	wasted  uint64
	refused bool
}

// New returns a request that arrives at a time. Loud accounts are those that
// ask for more than their share; fairness is judged over the others.
func New(at time.Duration, work *mustardtidev1.Work, chain mtchain.Chain, loud bool) *Request {
	r := &Request{at: at, work: work, chain: chain, loud: loud}
	for i := range chain.Len() {
		mark := chain.At(i)
		r.blocks = append(r.blocks, binary.LittleEndian.Uint64(mark[:8]))
	}
	return r
}

// Chain makes the chain of a prompt from its segments: each is a name and a
// length in marks.
func Chain(salt string, names []uint64, lengths []int) mtchain.Chain {
	var marks []byte
	link := mtchain.RootHash(salt)
	for i, name := range names {
		for j := range lengths[i] {
			var granule [16]byte
			binary.LittleEndian.PutUint64(granule[:8], name)
			binary.LittleEndian.PutUint64(granule[8:], uint64(j))
			link = mtchain.NextHash(link, granule[:])
			marks = append(marks, link[:]...)
		}
	}
	return mtchain.FromBytes(marks, spanBytes)
}

// At is the time of arrival at the caller.
func (r *Request) At() time.Duration { return r.at }

// Work is what placement and admission know of the request.
func (r *Request) Work() *mustardtidev1.Work { return r.work }

// Left is the work with the time left at a time since the start.
func (r *Request) Left(now time.Duration) *mustardtidev1.Work {
	left := proto.CloneOf(r.work)
	left.Left = durationpb.New(r.at + r.work.GetLeft().AsDuration() - now)
	return left
}

// Chain is the prompt's prefix chain.
func (r *Request) Chain() mtchain.Chain { return r.chain }

// Blocks is the prompt's cache blocks; one mark each.
func (r *Request) Blocks() []uint64 { return r.blocks }

// Loud says whether the account asks for more than its share.
func (r *Request) Loud() bool { return r.loud }

// Compute notes how the prompt was computed: tokens found in the cache, and
// tokens computed again that another target held.
func (r *Request) Compute(cached, wasted uint64) { r.cached, r.wasted = cached, wasted }

// Begin notes the first token's arrival at the caller.
func (r *Request) Begin(at time.Duration) { r.first = at }

// End notes the whole answer's arrival at the caller.
func (r *Request) End(at time.Duration) { r.end = at }

// Refuse notes a refusal.
func (r *Request) Refuse(at time.Duration) { r.refused, r.end = true, at }

// Refused says whether the caller was refused.
func (r *Request) Refused() bool { return r.refused }

// Wait is the time to the first token, or to the refusal.
func (r *Request) Wait() time.Duration {
	if r.refused {
		return r.end - r.at
	}
	return r.first - r.at
}

// Good says whether the whole answer came before the deadline.
func (r *Request) Good() bool {
	return !r.refused && r.end > 0 && r.end-r.at <= r.work.GetLeft().AsDuration()
}

// Cached is the prompt tokens found in the cache.
func (r *Request) Cached() uint64 { return r.cached }

// Wasted is the prompt tokens computed again.
func (r *Request) Wasted() uint64 { return r.wasted }
