package mtheld_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtheld"
)

// reader simulates an entry that applies the states that reach it.
type reader struct {
	epoch int64
	upto  uint64
	parts map[string]int64
}

func (r *reader) apply(state *fleetv1.State) {
	if state.GetReset_() || state.GetEpoch() != r.epoch {
		r.parts = map[string]int64{}
		r.epoch, r.upto = state.GetEpoch(), 0
	}
	if state.GetSince() > r.upto || state.GetUpto() <= r.upto {
		return
	}
	for _, change := range state.GetChanges() {
		if change.GetTokens() == 0 {
			delete(r.parts, change.GetPart())
			continue
		}
		r.parts[change.GetPart()] = change.GetTokens()
	}
	r.upto = state.GetUpto()
}

// An engine's cache changes while an entry receives occasional updates and some datagrams are
// lost. Once the entry has received all changes, it knows the contents of the cache.
func TestReaderCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := mtheld.New()
		r := &reader{parts: map[string]int64{}}
		cached := map[string]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 20).Draw(t, "step") {
			case 0:
				log.Clear()
				cached = map[string]int64{}
			case 1, 2, 3:
				state := &fleetv1.State{}
				log.AppendChanges(state, r.epoch, r.upto)
				if rapid.Bool().Draw(t, "arrives") {
					r.apply(state)
				}
			default:
				part := fmt.Sprint("p", rapid.IntRange(0, 60).Draw(t, "part"))
				tokens := int64(rapid.IntRange(0, 2).Draw(t, "tokens"))
				log.Record(&fleetv1.Held{Salt: "s", Part: part, Tokens: tokens})
				if tokens == 0 {
					delete(cached, part)
				} else {
					cached[part] = tokens
				}
			}
		}
		for range 30 {
			state := &fleetv1.State{}
			log.AppendChanges(state, r.epoch, r.upto)
			r.apply(state)
			if !state.GetMore() {
				break
			}
		}
		if len(r.parts) != len(cached) {
			t.Fatalf("the entry knows parts %v, but the cache holds %v", r.parts, cached)
		}
		for part, tokens := range cached {
			if r.parts[part] != tokens {
				t.Fatalf("part %s: the entry knows %d tokens, but the cache holds %d", part, r.parts[part], tokens)
			}
		}
	})
}

// A state with the maximum number of changes must fit a datagram.
func TestStateFitsADatagram(t *testing.T) {
	g := NewWithT(t)
	log := mtheld.New()
	for i := range 100 {
		log.Record(&fleetv1.Held{Salt: "model-with-a-long-name@123@account-name", Part: fmt.Sprintf("%012x", i), Tokens: 12345})
	}
	state := &fleetv1.State{}
	log.AppendChanges(state, 0, 0)
	g.Expect(state.GetMore()).To(BeTrue())
	g.Expect(len(state.String())).To(BeNumerically("<", 2400))
}

// After a loss of events the contents known to an entry are invalid, even if it knew the latest
// change. Guards against entries that keep such parts forever.
func TestClearReachesUpToDateReader(t *testing.T) {
	g := NewWithT(t)
	log := mtheld.New()
	r := &reader{parts: map[string]int64{}}
	log.Record(&fleetv1.Held{Salt: "s", Part: "p", Tokens: 1})
	for range 2 {
		state := &fleetv1.State{}
		log.AppendChanges(state, r.epoch, r.upto)
		r.apply(state)
	}
	g.Expect(r.parts).To(HaveLen(1))
	log.Clear()
	state := &fleetv1.State{}
	log.AppendChanges(state, r.epoch, r.upto)
	r.apply(state)
	g.Expect(r.parts).To(BeEmpty())
}
