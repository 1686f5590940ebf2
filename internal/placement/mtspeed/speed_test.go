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

// engine is one that nobody has measured.
type engine struct {
	start time.Duration
	// rate is in tokens a millisecond.
	rate float64
}

func (e engine) takes(read int64) time.Duration {
	return e.start + time.Duration(float64(read)/e.rate*float64(time.Millisecond))
}

// answers lets a speed see answers of long and short prompts, some of them behind
// others; every broken-th comes from an engine that takes so many times as long.
func answers(s *mtspeed.Speed, e engine, random *rand.Rand, count, broken int, times float64) {
	for i := range count {
		read := 300 + random.Int64N(500)
		if i%2 == 0 {
			read = 2500 + random.Int64N(9000)
		}
		took := float64(e.takes(read)) * (0.9 + 0.2*random.Float64())
		if broken > 0 && i%broken == 0 {
			took *= times
		}
		s.Learn(mtspeed.NewWork(read, 0), time.Duration(took))
	}
}

func near(s *mtspeed.Speed, e engine, read int64) float64 {
	return float64(s.Estimate(mtspeed.NewWork(read, 0))) / float64(e.takes(read))
}

// Engines five times faster, or three times slower, than any that was measured
// before. With the figures of others every estimate is off by that much, and idle
// engines seem to be late. After a second's answers the estimate is near what they
// need, for long prompts and short ones.
func TestUnknownEngines(t *testing.T) {
	for _, e := range []engine{
		{10 * time.Millisecond, 157},
		{30 * time.Millisecond, 32},
		{120 * time.Millisecond, 10},
		{5 * time.Millisecond, 400},
	} {
		g := NewWithT(t)
		s := mtspeed.New(0)
		random := rand.New(rand.NewPCG(1, 2))
		answers(s, e, random, 40, 0, 0)
		g.Expect(s.Known()).To(BeTrue())
		g.Expect(near(s, e, 6000)).To(BeNumerically("~", 1, 0.35), fmt.Sprint(e))
		answers(s, e, random, 600, 0, 0)
		for _, read := range []int64{400, 2500, 9000} {
			g.Expect(near(s, e, read)).To(BeNumerically("~", 1, 0.25), fmt.Sprint(e, read))
		}
	}
}

// One engine in five takes eight times as long while its health is good. It must
// not make all the others seem slow: callers would be sent away from them.
func TestFewSlowEnginesDoNotDecide(t *testing.T) {
	g := NewWithT(t)
	e := engine{15 * time.Millisecond, 100}
	s := mtspeed.New(0)
	answers(s, e, rand.New(rand.NewPCG(3, 4)), 800, 5, 8)
	g.Expect(near(s, e, 6000)).To(BeNumerically("<", 1.4))
	g.Expect(near(s, e, 6000)).To(BeNumerically(">", 0.9))
}

// The engines of a service are replaced by slower ones: the estimate follows.
func TestSpeedFollowsTheEngines(t *testing.T) {
	g := NewWithT(t)
	s := mtspeed.New(0)
	random := rand.New(rand.NewPCG(5, 6))
	answers(s, engine{10 * time.Millisecond, 200}, random, 500, 0, 0)
	slow := engine{40 * time.Millisecond, 40}
	answers(s, slow, random, 300, 0, 0)
	g.Expect(near(s, slow, 6000)).To(BeNumerically("~", 1, 0.3))
}

// A restarted entry knows nothing; another tells it what it has learned. Figures
// that no engine can have are not taken over, nor any once own answers were seen.
func TestWhatOthersTell(t *testing.T) {
	g := NewWithT(t)
	e := engine{10 * time.Millisecond, 157}
	old, young := mtspeed.New(0), mtspeed.New(0)
	g.Expect(young.Tell()).To(BeNil())
	answers(old, e, rand.New(rand.NewPCG(7, 8)), 300, 0, 0)
	old.Answered(200 * time.Millisecond)
	told := old.Tell()
	for _, change := range []func(*fleetv1.Speed){
		func(s *fleetv1.Speed) { s.Read = durationpb.New(0) },
		func(s *fleetv1.Speed) { s.Read = durationpb.New(-time.Second) },
		func(s *fleetv1.Speed) { s.Start = durationpb.New(time.Hour) },
		func(s *fleetv1.Speed) { s.Fetch = nil },
		func(s *fleetv1.Speed) { s.Running = durationpb.New(24 * time.Hour) },
	} {
		wrong := old.Tell()
		change(wrong)
		g.Expect(young.Adopt(wrong)).To(BeFalse())
	}
	g.Expect(young.Adopt(nil)).To(BeFalse())
	g.Expect(young.Adopt(told)).To(BeTrue())
	g.Expect(young.Known()).To(BeTrue())
	g.Expect(near(young, e, 6000)).To(BeNumerically("~", near(old, e, 6000), 0.01))
	g.Expect(young.Answer()).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
	g.Expect(young.Adopt(told)).To(BeFalse())
}

// Most answers are short and a few long: an engine that is about to load meets the
// long ones, and waits for them rather than for the mean.
func TestRunningAnswersAreTheLongOnes(t *testing.T) {
	g := NewWithT(t)
	s := mtspeed.New(0)
	g.Expect(s.Running()).To(Equal(400 * time.Millisecond))
	for i := range 1000 {
		lasted := 30 * time.Millisecond
		if i%10 == 0 {
			lasted = time.Second
		}
		s.Answered(lasted)
	}
	g.Expect(s.Answer()).To(BeNumerically("~", 127*time.Millisecond, 60*time.Millisecond))
	g.Expect(s.Running()).To(BeNumerically(">", 600*time.Millisecond))
}

// Whatever is seen, the times stay such that an estimate can be made of them.
func TestTimesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := mtspeed.New(0)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			read := rapid.Int64Range(0, 1<<40).Draw(t, "read")
			fetched := rapid.Int64Range(-5, 1<<40).Draw(t, "fetched")
			s.Learn(mtspeed.NewWork(read, fetched), time.Duration(rapid.Int64().Draw(t, "took")))
			s.Answered(time.Duration(rapid.Int64().Draw(t, "lasted")))
		}
		for term := mtspeed.Start; term <= mtspeed.Fetch; term++ {
			if s.Of(term) <= 0 {
				t.Fatalf("term %d takes %v", term, s.Of(term))
			}
		}
		if s.Answer() < 0 || s.Running() < 0 {
			t.Fatalf("answers last %v, those under way %v", s.Answer(), s.Running())
		}
	})
}

func ExampleSpeed() {
	s := mtspeed.New(0)
	fmt.Println(s.Estimate(mtspeed.NewWork(3200, 0)).Round(time.Millisecond))
	for range 200 {
		s.Learn(mtspeed.NewWork(3200, 0), 60*time.Millisecond)
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
		s.Learn(mtspeed.NewWork(5000, 2000), 50*time.Millisecond)
	}
}
