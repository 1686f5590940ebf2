package mtboard_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// simulation simulates engines and entries under load. Each engine prefills one prompt
// after another, and each entry receives its state from time to time.
type simulation struct {
	boards []*mtboard.Board
	// pending is the number of prompt tokens not yet prefilled, by engine and entry.
	pending [][]int64
	// busyUntil is when each engine has prefilled all its prompts.
	busyUntil []time.Time
	prompts   []sentPrompt
}

// sentPrompt is a prompt that was sent to an engine and is not yet prefilled.
type sentPrompt struct {
	end           time.Time
	entry, engine int
	tokens        int64
	choice        *mtboard.Choice
}

// tokensPerMillisecond is the prefill rate of an engine.
const tokensPerMillisecond = 32

func newSimulation(entries, engines int) *simulation {
	s := &simulation{busyUntil: make([]time.Time, engines)}
	for range entries {
		s.boards = append(s.boards, board(engines))
	}
	for range engines {
		s.pending = append(s.pending, make([]int64, entries))
	}
	return s
}

// reportState sends the state of an engine to an entry.
func (s *simulation) reportState(entry, engine int) {
	heartbeat := state(fmt.Sprint("e", engine), 1)
	for other, tokens := range s.pending[engine] {
		if other != entry {
			heartbeat.Pending += tokens
		}
	}
	s.boards[entry].UpdateState(heartbeat)
}

// send makes an entry choose an engine for a prompt, and returns how long the prompt waits
// for others there.
func (s *simulation) send(entry int, q *mtboard.Query, tokens int64, probe bool) time.Duration {
	b := s.boards[entry]
	for probe {
		stale := b.ProbeCandidates(q, 4)
		if len(stale) == 0 {
			break
		}
		for _, target := range stale {
			s.reportState(entry, engineIndex(target.GetId()))
		}
	}
	choice := b.Choose(q)
	engine := engineIndex(choice.Target())
	s.pending[engine][entry] += tokens
	begin := s.busyUntil[engine]
	if begin.Before(time.Now()) {
		begin = time.Now()
	}
	s.busyUntil[engine] = begin.Add(time.Duration(tokens/tokensPerMillisecond) * time.Millisecond)
	wait := time.Until(begin)
	s.prompts = append(s.prompts, sentPrompt{s.busyUntil[engine], entry, engine, tokens, choice})
	return wait
}

// finish ends the prompts that have been prefilled by now.
func (s *simulation) finish() {
	s.prompts = slices.DeleteFunc(s.prompts, func(p sentPrompt) bool {
		if time.Now().Before(p.end) {
			return false
		}
		s.pending[p.engine][p.entry] -= p.tokens
		p.choice.Started(&fleetv1.Answer{})
		p.choice.End(mtboard.Succeeded{})
		return true
	})
}

func engineIndex(target string) int {
	var index int
	if _, err := fmt.Sscanf(target, "e%d", &index); err != nil {
		panic(err)
	}
	return index
}

// lateShare runs four seconds of prompts at two thirds of the engines' prefill capacity,
// and returns the share that waits for others longer than half of the latency objective.
func lateShare(entries, engines int, probe bool) float64 {
	const (
		tokens = 6000
		gap    = 200 * time.Microsecond
	)
	s := newSimulation(entries, engines)
	random := rand.New(rand.NewPCG(1, 1))
	sent, lateCount := 0, 0
	chance := 0.66 * float64(engines) * tokensPerMillisecond * gap.Seconds() * 1000 / tokens
	for step := range int(4 * time.Second / gap) {
		time.Sleep(gap)
		s.finish()
		// Each entry receives the state of each engine every 0.8 s.
		if step%16 == 0 {
			round := step / 16
			for entry := range entries {
				for engine := range engines {
					if (round+7*entry+engine)%250 == 0 {
						s.reportState(entry, engine)
					}
				}
			}
		}
		if random.Float64() > chance {
			continue
		}
		sent++
		q := query(tokens, fmt.Sprint("own", step))
		if s.send(random.IntN(entries), q, tokens, probe) > 400*time.Millisecond {
			lateCount++
		}
	}
	return float64(lateCount) / float64(sent)
}

// Guards against many entries that send their prompts to the same engines. Each entry
// sees a small part of the requests, and its state of an engine is half a second old:
// prompts queue at the engines that looked idle while others are idle. With a probe of
// the engines before each choice, few prompts wait.
func TestManyEntriesDoNotOverloadTheSameEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		without := lateShare(14, 24, false)
		time.Sleep(time.Minute)
		with := lateShare(14, 24, true)
		t.Logf("share of late prompts without probes %.3f, with probes %.3f", without, with)
		g.Expect(with).To(BeNumerically("<", 0.02))
		g.Expect(without).To(BeNumerically(">", 3*with))
	})
}

// Guards against engines that are skipped because their sidecars are dead and do not
// answer, and against requests that probe such a sidecar each time.
func TestEnginesWithDeadSidecarsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(4)
		probes := 0
		used := map[string]int{}
		for i := range 40 {
			time.Sleep(10 * time.Millisecond)
			q := query(6000, fmt.Sprint("own", i))
			for round := 0; round < 2; round++ {
				stale := b.ProbeCandidates(q, 4)
				probes += len(stale)
				for _, target := range stale {
					if engineIndex(target.GetId()) < 2 {
						b.UpdateState(state(target.GetId(), 1))
					} else {
						b.ProbeFailed(q, target.GetId())
					}
				}
			}
			used[b.Choose(q).Target()]++
		}
		g.Expect(used).To(HaveLen(4))
		g.Expect(probes).To(BeNumerically("<", 100), "only the two live sidecars are probed each time")
	})
}

// Guards against a choice of the target whose state is the oldest because it looks best:
// a target whose state is current is preferred.
func TestTargetWithCurrentStateIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(3)
		for i := range 3 {
			b.UpdateState(state(fmt.Sprint("e", i), 1))
		}
		time.Sleep(time.Second)
		q := query(600, "own")
		stale := b.ProbeCandidates(q, 1)
		g.Expect(stale).To(HaveLen(1))
		busy := state(stale[0].GetId(), 1)
		busy.Pending = 600
		b.UpdateState(busy)
		g.Expect(b.ProbeCandidates(q, 1)).To(HaveLen(1), "another target with an old state looks better now")
		g.Expect(b.Choose(q).Target()).To(Equal(stale[0].GetId()))
	})
}
