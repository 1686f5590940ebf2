// Package mtscore is the price of sending a request to a target.
//
// Without one price for waiting and computing, a router either follows the
// cache into a queue or flees a short queue and computes a dossier anew. Both
// are seconds to the caller, so that they add up.
package mtscore

import "time"

// Score is the expected time to the first token plus the harm to others, in
// nanoseconds; the lowest is best.
type Score time.Duration

// evictionWeight counts computing more than once: the tokens computed hold up
// the prompts behind them and evict what others will ask for. Waiting harms
// the caller alone. The figure is a choice between 1, the caller's own time,
// and 2, another's as well; no bound holds it yet.
const evictionWeight = 1.5

// defaultRate is the prefill rate, tokens a second, taken for a target of which
// nothing is known: the example settings' rate.
const defaultRate = 20000

// Of prices a request: expected wait in the target's queue, tokens of the
// prompt that the target has not cached, its prefill rate in tokens a second
// (0: unknown), the round trip to it, and the factor by which the target runs
// behind its fleet.
func Of(wait time.Duration, uncached uint64, rate float64, distance time.Duration, slowness float64) Score {
	compute := float64(Compute(uncached, rate)) * evictionWeight
	return Score((float64(wait)+compute)*slowness) + Score(distance)
}

// Compute is the time to compute tokens at a rate.
func Compute(tokens uint64, rate float64) time.Duration {
	if rate <= 0 {
		rate = defaultRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
