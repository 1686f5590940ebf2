package mtheld_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtheld"
)

// reader is an entry that takes in the states that reach it.
type reader struct {
	epoch int64
	upto  uint64
	parts map[string]int64
}

func (r *reader) take(state *fleetv1.State) {
	if state.GetReset_() || state.GetEpoch() != r.epoch {
		r.parts = map[string]int64{}
		r.epoch, r.upto = state.GetEpoch(), 0
	}
	if state.GetSince() > r.upto || state.GetUpto() <= r.upto {
		return
	}
	for _, held := range state.GetChanges() {
		if held.GetTokens() == 0 {
			delete(r.parts, held.GetPart())
			continue
		}
		r.parts[held.GetPart()] = held.GetTokens()
	}
	r.upto = state.GetUpto()
}

// An engine's cache changes while an entry hears of it now and then, and some
// datagrams are lost: once the entry has heard all, it knows what is held.
func TestReaderCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := mtheld.New()
		r := &reader{parts: map[string]int64{}}
		held := map[string]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 20).Draw(t, "step") {
			case 0:
				log.Clear()
				held = map[string]int64{}
			case 1, 2, 3:
				state := &fleetv1.State{}
				log.Fill(state, r.epoch, r.upto)
				if rapid.Bool().Draw(t, "arrives") {
					r.take(state)
				}
			default:
				part := fmt.Sprint("p", rapid.IntRange(0, 60).Draw(t, "part"))
				tokens := int64(rapid.IntRange(0, 2).Draw(t, "tokens"))
				log.Put(&fleetv1.Held{Salt: "s", Part: part, Tokens: tokens})
				if tokens == 0 {
					delete(held, part)
				} else {
					held[part] = tokens
				}
			}
		}
		for range 30 {
			state := &fleetv1.State{}
			log.Fill(state, r.epoch, r.upto)
			r.take(state)
			if !state.GetMore() {
				break
			}
		}
		if len(r.parts) != len(held) {
			t.Fatalf("the entry knows %v, held are %v", r.parts, held)
		}
		for part, tokens := range held {
			if r.parts[part] != tokens {
				t.Fatalf("%s: the entry knows %d tokens of %d", part, r.parts[part], tokens)
			}
		}
	})
}

// A state with as many changes as it takes fits a datagram.
func TestStateFitsADatagram(t *testing.T) {
	g := NewWithT(t)
	log := mtheld.New()
	for i := range 100 {
		log.Put(&fleetv1.Held{Salt: "model-with-a-long-name@123@account-name", Part: fmt.Sprintf("%012x", i), Tokens: 12345})
	}
	state := &fleetv1.State{}
	log.Fill(state, 0, 0)
	g.Expect(state.GetMore()).To(BeTrue())
	g.Expect(len(state.String())).To(BeNumerically("<", 2400))
}

// Events are lost while the engine goes on: what an entry knew is void, also
// where it knew the very last change. It kept such parts for ever.
func TestClearReachesAReaderInStep(t *testing.T) {
	g := NewWithT(t)
	log := mtheld.New()
	r := &reader{parts: map[string]int64{}}
	log.Put(&fleetv1.Held{Salt: "s", Part: "p", Tokens: 1})
	for range 2 {
		state := &fleetv1.State{}
		log.Fill(state, r.epoch, r.upto)
		r.take(state)
	}
	g.Expect(r.parts).To(HaveLen(1))
	log.Clear()
	state := &fleetv1.State{}
	log.Fill(state, r.epoch, r.upto)
	r.take(state)
	g.Expect(r.parts).To(BeEmpty())
}
