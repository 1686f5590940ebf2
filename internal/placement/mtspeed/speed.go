// Package mtspeed learns what the engines of a service need for their work from
// the answers that an entry sees.
//
// The load it answers is engines that nobody here has measured: five times faster
// or three times slower than those of another fleet, on other links. Figures taken
// from one fleet made entries refuse requests in front of idle engines, and read
// anew what a fetch would have brought in a tenth of the time. An estimate that is
// compared with an aim has to come from the engines that stand there.
package mtspeed

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Term is one of the times of which the time to a first token is the sum.
type Term int

// Start is what a request needs besides its prompt; Read the reading of one token;
// Begin what a fetch needs besides its tokens, and Fetch the transfer of one.
const (
	Start Term = iota
	Read
	Begin
	Fetch
	terms
)

// first are the times until answers were seen: of engines that are neither fast
// nor slow, 32 tokens read in a millisecond and 2 us to move one. They are off by
// a factor of five in fleets of today, which thirty answers correct.
var first = [terms]float64{
	Start: float64(70 * time.Millisecond),
	Read:  float64(time.Second / 32_000),
	Begin: float64(4 * time.Millisecond),
	Fetch: float64(2 * time.Microsecond),
}

// bounds are the times that are believed: two to three powers of ten to each side,
// far beyond the engines that are built today.
var bounds = [terms][2]float64{
	Start: {float64(time.Millisecond), float64(5 * time.Second)},
	Read:  {float64(200 * time.Nanosecond), float64(5 * time.Millisecond)},
	Begin: {float64(100 * time.Microsecond), float64(time.Second)},
	Fetch: {float64(10 * time.Nanosecond), float64(500 * time.Microsecond)},
}

const (
	// firstStep is how far the first answers move the times, lastStep the later
	// ones: the last hundred answers, some seconds of an entry's, count most.
	firstStep = 0.5
	lastStep  = 0.04
	// settling is the number of answers in which the one goes over to the other.
	settling = 24
	// clip bounds what one answer says, as the logarithm of its ratio to the
	// estimate: an engine that fails, freezes or lies says no more than one that
	// takes half as long again. So the times follow what most engines need.
	clip = 0.4
	// known is the number of answers from which on the times are told and relied
	// on: the steps up to there correct a factor of ten.
	known = 32
	// firstAnswer stands for the length of an answer until some were seen.
	firstAnswer = 400 * time.Millisecond
	// answerStep is how far one answer moves the mean length.
	answerStep = 0.02
	// longestAnswer is the length that is believed.
	longestAnswer = time.Minute
)

// Speed is one service's. It is not safe for concurrent use.
type Speed struct {
	times [terms]float64
	count int64
	// sum and squares are weighted means of the lengths of answers, from their
	// first byte to their last, and of their squares, in seconds.
	sum     float64
	squares float64
}

// Work is what a request asks of a target, in units of the terms: one start, the
// tokens to be read, and the tokens to be fetched.
type Work [terms]float64

// NewWork describes a request: the tokens that are read before its first token,
// others' included, and the tokens that are fetched.
func NewWork(read, fetched int64) Work {
	w := Work{Start: 1, Read: float64(read)}
	if fetched > 0 {
		w[Begin], w[Fetch] = 1, float64(fetched)
	}
	return w
}

// New returns the speed of engines of which nothing was seen but, where that is above
// 0, what their links need for a token.
func New(transfer time.Duration) *Speed {
	s := &Speed{times: first}
	if transfer > 0 {
		s.times[Fetch] = within(Fetch, float64(transfer))
	}
	return s
}

// Of is the time of one term.
func (s *Speed) Of(term Term) time.Duration { return time.Duration(s.times[term]) }

// Known says that enough answers were seen to rely on the times.
func (s *Speed) Known() bool { return s.count >= known }

// Tokens is the time in which an engine reads so many tokens.
func (s *Speed) Tokens(count float64) time.Duration { return time.Duration(count * s.times[Read]) }

// Estimate is the time to the first token.
func (s *Speed) Estimate(w Work) time.Duration {
	var sum float64
	for term, units := range w {
		sum += units * s.times[term]
	}
	return time.Duration(sum)
}

// Learn takes in the time that a request took to its first token. Each term is
// corrected by its share of the estimate, in the ratio of what was seen to it: what
// most requests share is learned from all, and a term that a request hardly uses is
// left alone. Half of the answers are then above the estimate, half below.
func (s *Speed) Learn(w Work, took time.Duration) {
	estimate := float64(s.Estimate(w))
	if estimate <= 0 || took <= 0 {
		return
	}
	off := math.Log(float64(took) / estimate)
	off = min(clip, max(-clip, off)) * s.step()
	for term, units := range w {
		share := units * s.times[term] / estimate
		if share > 0 {
			s.times[term] = within(Term(term), s.times[term]*(1+off*share))
		}
	}
	s.count++
}

func (s *Speed) step() float64 {
	return max(lastStep, firstStep*settling/(settling+float64(s.count)))
}

func within(term Term, value float64) float64 {
	return min(bounds[term][1], max(bounds[term][0], value))
}

// Answered takes in how long an answer lasted from its first byte on.
func (s *Speed) Answered(lasted time.Duration) {
	seconds := max(0, min(lasted, longestAnswer)).Seconds()
	if s.sum == 0 {
		s.sum, s.squares = seconds, seconds*seconds
		return
	}
	s.sum += answerStep * (seconds - s.sum)
	s.squares += answerStep * (seconds*seconds - s.squares)
}

// Answer is the mean length of an answer.
func (s *Speed) Answer() time.Duration {
	if s.sum <= 0 {
		return firstAnswer
	}
	return time.Duration(s.sum * float64(time.Second))
}

// Running is the mean length of the answers that are under way at some moment: the
// long ones are met more often than the short ones.
func (s *Speed) Running() time.Duration {
	if s.sum <= 0 {
		return firstAnswer
	}
	return time.Duration(s.squares / s.sum * float64(time.Second))
}

// Tell returns the times for other processes; nil until they can be relied on.
func (s *Speed) Tell() *fleetv1.Speed {
	if !s.Known() {
		return nil
	}
	return &fleetv1.Speed{
		Start:   durationpb.New(s.Of(Start)),
		Read:    durationpb.New(s.Of(Read)),
		Begin:   durationpb.New(s.Of(Begin)),
		Fetch:   durationpb.New(s.Of(Fetch)),
		Answer:  durationpb.New(s.Answer()),
		Running: durationpb.New(s.Running()),
	}
}

// Adopt takes over what another process has learned, where this one knows too
// little itself. It reports whether it did; figures that no engine can have are
// not believed.
func (s *Speed) Adopt(told *fleetv1.Speed) bool {
	if s.Known() || told == nil {
		return false
	}
	times := [terms]float64{
		Start: float64(told.GetStart().AsDuration()),
		Read:  float64(told.GetRead().AsDuration()),
		Begin: float64(told.GetBegin().AsDuration()),
		Fetch: float64(told.GetFetch().AsDuration()),
	}
	for term, value := range times {
		if within(Term(term), value) != value {
			return false
		}
	}
	answer, running := told.GetAnswer().AsDuration(), told.GetRunning().AsDuration()
	if answer < 0 || running < 0 || answer > longestAnswer || running > longestAnswer {
		return false
	}
	s.times = times
	s.count = known
	if s.sum == 0 {
		s.sum, s.squares = answer.Seconds(), answer.Seconds()*running.Seconds()
	}
	return true
}
