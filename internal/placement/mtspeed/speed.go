// Package mtspeed estimates how fast the engines of a service are from the answers that an
// entry observes.
//
// Engines differ between fleets by up to five times faster or three times slower, and so do
// their links. Constants measured on one fleet made entries refuse requests while engines were
// idle, and recompute tokens that a fetch would have delivered in a tenth of the time. An
// estimate that is compared with a latency objective therefore has to be learned from the engines
// in use.
package mtspeed

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Term is one component of the time to first token, which is the sum of all terms.
type Term int

// The terms are, in this order: the fixed cost of a request, the time to prefill one token,
// the fixed cost of a fetch, and the time to transfer one token.
const (
	Start Term = iota
	Read
	FetchSetup
	Fetch
	numTerms
)

// initialTimes are the estimates before any answer is observed: a typical engine prefills 32 tokens
// in a millisecond, and one token takes 2 us to transfer. In current fleets they are off by up to
// a factor of five, which thirty answers correct.
var initialTimes = [numTerms]float64{
	Start:      float64(70 * time.Millisecond),
	Read:       float64(time.Second / 32_000),
	FetchSetup: float64(4 * time.Millisecond),
	Fetch:      float64(2 * time.Microsecond),
}

// bounds are the accepted times: two to three orders of magnitude to either side, far beyond
// current engines.
var bounds = [numTerms][2]float64{
	Start:      {float64(time.Millisecond), float64(5 * time.Second)},
	Read:       {float64(200 * time.Nanosecond), float64(5 * time.Millisecond)},
	FetchSetup: {float64(100 * time.Microsecond), float64(time.Second)},
	Fetch:      {float64(10 * time.Nanosecond), float64(500 * time.Microsecond)},
}

const (
	// initialStep and finalStep are the learning rates for the first and for later answers. With
	// finalStep, about the last hundred answers, a few seconds at one entry, dominate.
	initialStep = 0.5
	finalStep   = 0.04
	// settling is the number of answers after which the learning rate has halved.
	settling = 24
	// maxLogError limits the log of the ratio of one observation to its estimate: an engine
	// that fails, freezes or lies counts no more than one that takes half as long again, so
	// that the estimate follows the majority of engines.
	maxLogError = 0.4
	// minAnswers is the number of answers from which the times are relied on and shared:
	// the steps up to there can correct a factor of ten.
	minAnswers = 32
	// defaultAnswer is the answer length assumed before any was observed.
	defaultAnswer = 400 * time.Millisecond
	// answerStep is the weight of one answer in the mean length.
	answerStep = 0.02
	// maxAnswer is the longest answer length that is accepted.
	maxAnswer = time.Minute
)

// Speed holds the estimates for the engines of one service. It is not safe for concurrent use.
type Speed struct {
	times [numTerms]float64
	count int64
	// meanLength and meanSquare are weighted means of the lengths of answers, from first byte to
	// last, and of their squares, in seconds.
	meanLength float64
	meanSquare float64
}

// Work is the work of a request at a target, in units of each term: one start, the tokens to
// prefill, and the tokens to fetch.
type Work [numTerms]float64

// NewWork returns the work of a request. prefill counts the tokens prefilled before its first
// token, including those of requests ahead of it; fetched counts the tokens to fetch.
func NewWork(prefill, fetched int64) Work {
	w := Work{Start: 1, Read: float64(prefill)}
	if fetched > 0 {
		w[FetchSetup], w[Fetch] = 1, float64(fetched)
	}
	return w
}

// New returns the initial estimates. If transfer is above 0, it is the time that the engines'
// links need for a token.
func New(transfer time.Duration) *Speed {
	s := &Speed{times: initialTimes}
	if transfer > 0 {
		s.times[Fetch] = clamp(Fetch, float64(transfer))
	}
	return s
}

// Time returns the time of one unit of a term.
func (s *Speed) Time(term Term) time.Duration { return time.Duration(s.times[term]) }

// Reliable reports whether enough answers were observed to rely on the times.
func (s *Speed) Reliable() bool { return s.count >= minAnswers }

// PrefillTime returns the time that an engine needs to prefill count tokens.
func (s *Speed) PrefillTime(count float64) time.Duration { return time.Duration(count * s.times[Read]) }

// Estimate returns the expected time to first token.
func (s *Speed) Estimate(w Work) time.Duration {
	var sum float64
	for term, units := range w {
		sum += units * s.times[term]
	}
	return time.Duration(sum)
}

// ObserveFirstToken records the time to first token of a request. Each term is corrected by the
// ratio of the observed time to the estimate, in proportion to its share of the estimate: every
// request contributes to the common terms, and a term that a request hardly uses barely changes.
// The estimate converges to the median.
func (s *Speed) ObserveFirstToken(w Work, took time.Duration) {
	estimate := float64(s.Estimate(w))
	if estimate <= 0 || took <= 0 {
		return
	}
	logError := math.Log(float64(took) / estimate)
	logError = min(maxLogError, max(-maxLogError, logError)) * s.step()
	for term, units := range w {
		share := units * s.times[term] / estimate
		if share > 0 {
			s.times[term] = clamp(Term(term), s.times[term]*(1+logError*share))
		}
	}
	s.count++
}

// step returns the learning rate for the next answer.
func (s *Speed) step() float64 {
	return max(finalStep, initialStep*settling/(settling+float64(s.count)))
}

// clamp limits a time to the bounds of its term.
func clamp(term Term, value float64) float64 {
	return min(bounds[term][1], max(bounds[term][0], value))
}

// ObserveAnswer records the length of an answer, counted from its first byte.
func (s *Speed) ObserveAnswer(lasted time.Duration) {
	seconds := max(0, min(lasted, maxAnswer)).Seconds()
	if s.meanLength == 0 {
		s.meanLength, s.meanSquare = seconds, seconds*seconds
		return
	}
	s.meanLength += answerStep * (seconds - s.meanLength)
	s.meanSquare += answerStep * (seconds*seconds - s.meanSquare)
}

// MeanAnswer returns the mean length of an answer.
func (s *Speed) MeanAnswer() time.Duration {
	if s.meanLength <= 0 {
		return defaultAnswer
	}
	return time.Duration(s.meanLength * float64(time.Second))
}

// MeanRunning returns the mean total length of the answers in progress at a random moment. It is
// above the mean of all answers, since long answers are more likely to be in progress.
func (s *Speed) MeanRunning() time.Duration {
	if s.meanLength <= 0 {
		return defaultAnswer
	}
	return time.Duration(s.meanSquare / s.meanLength * float64(time.Second))
}

// Snapshot returns the times to share with other processes, or nil while they are not reliable.
func (s *Speed) Snapshot() *fleetv1.Speed {
	if !s.Reliable() {
		return nil
	}
	return &fleetv1.Speed{
		Start:   durationpb.New(s.Time(Start)),
		Read:    durationpb.New(s.Time(Read)),
		Begin:   durationpb.New(s.Time(FetchSetup)),
		Fetch:   durationpb.New(s.Time(Fetch)),
		Answer:  durationpb.New(s.MeanAnswer()),
		Running: durationpb.New(s.MeanRunning()),
	}
}

// Adopt takes over the times learned by another process if this one has not observed enough
// answers itself. It reports whether it did; times out of bounds are rejected.
func (s *Speed) Adopt(snapshot *fleetv1.Speed) bool {
	if s.Reliable() || snapshot == nil {
		return false
	}
	times := [numTerms]float64{
		Start:      float64(snapshot.GetStart().AsDuration()),
		Read:       float64(snapshot.GetRead().AsDuration()),
		FetchSetup: float64(snapshot.GetBegin().AsDuration()),
		Fetch:      float64(snapshot.GetFetch().AsDuration()),
	}
	for term, value := range times {
		if clamp(Term(term), value) != value {
			return false
		}
	}
	answer, running := snapshot.GetAnswer().AsDuration(), snapshot.GetRunning().AsDuration()
	if answer < 0 || running < 0 || answer > maxAnswer || running > maxAnswer {
		return false
	}
	s.times = times
	s.count = minAnswers
	if s.meanLength == 0 {
		s.meanLength, s.meanSquare = answer.Seconds(), answer.Seconds()*running.Seconds()
	}
	return true
}
