package mtspeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtspeed"
)

// engine is a simulated engine of unknown speed.
type engine struct {
	start time.Duration
	// rate is in tokens per millisecond.
	rate float64
}

func (e engine) takes(prefill int64) time.Duration {
	return e.start + time.Duration(float64(prefill)/e.rate*float64(time.Millisecond))
}

// observe records answers to long and short prompts, some of them queued behind others. Every
// slowEvery-th answer, if that is above 0, comes from an engine that takes slowdown times as long.
func observe(s *mtspeed.Speed, e engine, random *rand.Rand, count, slowEvery int, slowdown float64) {
	for i := range count {
		prefill := 300 + random.Int64N(500)
		if i%2 == 0 {
			prefill = 2500 + random.Int64N(9000)
		}
		took := float64(e.takes(prefill)) * (0.9 + 0.2*random.Float64())
		if slowEvery > 0 && i%slowEvery == 0 {
			took *= slowdown
		}
		s.ObserveFirstToken(mtspeed.NewWork(prefill, 0), time.Duration(took))
	}
}

// relativeEstimate returns the ratio of the estimated to the actual time to first token.
func relativeEstimate(s *mtspeed.Speed, e engine, prefill int64) float64 {
	return float64(s.Estimate(mtspeed.NewWork(prefill, 0))) / float64(e.takes(prefill))
}

// Engines may be five times faster or three times slower than any measured before. With constants
// of another fleet every estimate would be off by that factor and idle engines would seem late.
// After about a second of answers the estimate must fit, for long prompts and for short ones.
func TestEstimateConvergesForUnknownEngines(t *testing.T) {
	for _, e := range []engine{
		{10 * time.Millisecond, 157},
		{30 * time.Millisecond, 32},
		{120 * time.Millisecond, 10},
		{5 * time.Millisecond, 400},
	} {
		g := NewWithT(t)
		s := mtspeed.New(0)
		random := rand.New(rand.NewPCG(1, 2))
		observe(s, e, random, 40, 0, 0)
		g.Expect(s.Reliable()).To(BeTrue())
		g.Expect(relativeEstimate(s, e, 6000)).To(BeNumerically("~", 1, 0.35), fmt.Sprint(e))
		observe(s, e, random, 600, 0, 0)
		for _, prefill := range []int64{400, 2500, 9000} {
			g.Expect(relativeEstimate(s, e, prefill)).To(BeNumerically("~", 1, 0.25), fmt.Sprint(e, prefill))
		}
	}
}

// One engine in five takes eight times as long although its health checks pass. It must not raise
// the estimate for all the others, since requests would be refused or sent elsewhere.
func TestFewSlowEnginesDoNotSkewEstimate(t *testing.T) {
	g := NewWithT(t)
	e := engine{15 * time.Millisecond, 100}
	s := mtspeed.New(0)
	observe(s, e, rand.New(rand.NewPCG(3, 4)), 800, 5, 8)
	g.Expect(relativeEstimate(s, e, 6000)).To(BeNumerically("<", 1.4))
	g.Expect(relativeEstimate(s, e, 6000)).To(BeNumerically(">", 0.9))
}

// The estimate follows when the engines of a service are replaced by slower ones.
func TestEstimateFollowsReplacedEngines(t *testing.T) {
	g := NewWithT(t)
	s := mtspeed.New(0)
	random := rand.New(rand.NewPCG(5, 6))
	observe(s, engine{10 * time.Millisecond, 200}, random, 500, 0, 0)
	slow := engine{40 * time.Millisecond, 40}
	observe(s, slow, random, 300, 0, 0)
	g.Expect(relativeEstimate(s, slow, 6000)).To(BeNumerically("~", 1, 0.3))
}

// A restarted entry knows nothing and adopts what another has learned. It rejects times out of
// bounds, and any times once it has reliable ones.
func TestAdoptTimesOfOtherProcess(t *testing.T) {
	g := NewWithT(t)
	e := engine{10 * time.Millisecond, 157}
	source, restarted := mtspeed.New(0), mtspeed.New(0)
	g.Expect(restarted.Snapshot()).To(BeNil())
	observe(source, e, rand.New(rand.NewPCG(7, 8)), 300, 0, 0)
	source.ObserveAnswer(200 * time.Millisecond)
	snapshot := source.Snapshot()
	for _, corrupt := range []func(*fleetv1.Speed){
		func(s *fleetv1.Speed) { s.Read = durationpb.New(0) },
		func(s *fleetv1.Speed) { s.Read = durationpb.New(-time.Second) },
		func(s *fleetv1.Speed) { s.Start = durationpb.New(time.Hour) },
		func(s *fleetv1.Speed) { s.Fetch = nil },
		func(s *fleetv1.Speed) { s.Running = durationpb.New(24 * time.Hour) },
	} {
		invalid := source.Snapshot()
		corrupt(invalid)
		g.Expect(restarted.Adopt(invalid)).To(BeFalse())
	}
	g.Expect(restarted.Adopt(nil)).To(BeFalse())
	g.Expect(restarted.Adopt(snapshot)).To(BeTrue())
	g.Expect(restarted.Reliable()).To(BeTrue())
	g.Expect(relativeEstimate(restarted, e, 6000)).To(BeNumerically("~", relativeEstimate(source, e, 6000), 0.01))
	g.Expect(restarted.MeanAnswer()).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(restarted.Adopt(snapshot)).To(BeFalse())
}

// Most answers are short and a few are long. A request that finds an engine busy mostly waits for
// a long answer, so the mean of the answers in progress must be above the mean of all answers.
func TestRunningIsWeightedTowardsLongAnswers(t *testing.T) {
	g := NewWithT(t)
	s := mtspeed.New(0)
	g.Expect(s.MeanRunning()).To(Equal(400 * time.Millisecond))
	for i := range 1000 {
		lasted := 30 * time.Millisecond
		if i%10 == 0 {
			lasted = time.Second
		}
		s.ObserveAnswer(lasted)
	}
	g.Expect(s.MeanAnswer()).To(BeNumerically("~", 127*time.Millisecond, 60*time.Millisecond))
	g.Expect(s.MeanRunning()).To(BeNumerically(">", 600*time.Millisecond))
}

// The times stay positive whatever is observed, so that estimates remain usable.
func TestTimesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := mtspeed.New(0)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			prefill := rapid.Int64Range(0, 1<<40).Draw(t, "read")
			fetched := rapid.Int64Range(-5, 1<<40).Draw(t, "fetched")
			s.ObserveFirstToken(mtspeed.NewWork(prefill, fetched), time.Duration(rapid.Int64().Draw(t, "took")))
			s.ObserveAnswer(time.Duration(rapid.Int64().Draw(t, "lasted")))
		}
		for term := mtspeed.Start; term <= mtspeed.Fetch; term++ {
			if s.Time(term) <= 0 {
				t.Fatalf("time of term %d is not positive: %v", term, s.Time(term))
			}
		}
		if s.MeanAnswer() < 0 || s.MeanRunning() < 0 {
			t.Fatalf("mean answer length %v, mean length of answers in progress %v", s.MeanAnswer(), s.MeanRunning())
		}
	})
}

func ExampleSpeed() {
	s := mtspeed.New(0)
	fmt.Println(s.Estimate(mtspeed.NewWork(3200, 0)).Round(time.Millisecond))
	for range 200 {
		s.ObserveFirstToken(mtspeed.NewWork(3200, 0), 60*time.Millisecond)
	}
	fmt.Println(s.Estimate(mtspeed.NewWork(3200, 0)).Round(time.Millisecond))
	// Output:
	// 170ms
	// 60ms
}

func BenchmarkLearn(b *testing.B) {
	s := mtspeed.New(0)
	b.ReportAllocs()
	for b.Loop() {
		s.ObserveFirstToken(mtspeed.NewWork(5000, 2000), 50*time.Millisecond)
	}
}
