// Package mtscore estimates the cost of sending a request to a target.
//
// Waiting and computing share one scale. A router that weighs them separately
// either follows the cache into a long queue or avoids a short queue and
// computes a long shared prefix again. Both delay the caller, so their times are
// added up.
package mtscore

import "time"

// Score is the expected time to the first token plus the delay caused to other
// requests, in nanoseconds. The lowest score is best.
type Score time.Duration

// computeWeight is the factor for computing time. Computed tokens also delay the
// prompts queued behind them and evict blocks that other requests need, while
// waiting delays only the caller. 1 would count only the caller's time, 2 another
// caller's as well; no acceptance bound constrains the value yet.
const computeWeight = 1.5

// defaultPrefillRate is the prefill rate in tokens per second that is assumed for a
// target whose rate is unknown. It is the rate in the example settings.
const defaultPrefillRate = 20000

// Of returns the score of a request from the expected wait in the target's queue,
// the number of prompt tokens that the target has not cached, its prefill rate in
// tokens per second (0 if unknown), the round-trip time, and the factor by which
// the target is slower than its fleet.
func Of(wait time.Duration, uncached uint64, prefillRate float64, roundTrip time.Duration, slowness float64) Score {
	compute := float64(ComputeTime(uncached, prefillRate)) * computeWeight
	return Score((float64(wait)+compute)*slowness) + Score(roundTrip)
}

// ComputeTime returns the time that it takes to compute tokens at a prefill rate.
func ComputeTime(tokens uint64, prefillRate float64) time.Duration {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}
