// Package mtpaired compares two variants by the differences of their plays of the same
// days and seeds.
package mtpaired

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// resamples is how many means are drawn for an interval.
	resamples = 4000
	// tail is what the interval leaves out on each side.
	tail = 0.025
	// fewest is the least number of pairs on which a verdict rests.
	fewest = 3
)

// Verdict says what the differences show.
type Verdict string

// Verdicts, by whether the interval holds zero.
const (
	Better  Verdict = "better"
	Worse   Verdict = "worse"
	Unknown Verdict = "can't tell"
)

// Difference is what some pairs show.
type Difference struct {
	pairs     int
	mean      float64
	low, high float64
}

// Of returns the mean of some differences and its 95 % interval, by bootstrap. The same
// differences give the same interval.
func Of(differences []float64) Difference {
	d := Difference{pairs: len(differences)}
	if d.pairs == 0 {
		return d
	}
	d.mean = stat.Mean(differences, nil)
	r := rand.New(rand.NewPCG(1, uint64(d.pairs)))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range differences {
			sum += differences[r.IntN(len(differences))]
		}
		means[i] = sum / float64(len(differences))
	}
	slices.Sort(means)
	d.low = stat.Quantile(tail, stat.Empirical, means, nil)
	d.high = stat.Quantile(1-tail, stat.Empirical, means, nil)
	return d
}

// Pairs is their number.
func (d Difference) Pairs() int { return d.pairs }

// Mean is the mean difference.
func (d Difference) Mean() float64 { return d.mean }

// Low is the lower end of the interval.
func (d Difference) Low() float64 { return d.low }

// High is its upper end.
func (d Difference) High() float64 { return d.high }

// Verdict is by the interval, never by a pair or two.
func (d Difference) Verdict() Verdict {
	switch {
	case d.pairs < fewest:
		return Unknown
	case d.low > 0:
		return Better
	case d.high < 0:
		return Worse
	default:
		return Unknown
	}
}
