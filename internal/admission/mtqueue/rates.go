package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Defaults for services whose settings give no values. They apply until the first requests are
// measured.
const (
	defaultSlots     = 8
	defaultPrefill   = 10000
	defaultDecode    = 20 * time.Millisecond
	defaultPlainTime = 100 * time.Millisecond
)

// ewmaWeight is the weight of a new sample in the moving average: after three samples two
// thirds of a change are taken over, while a single outlier shifts an estimate by less than a
// third of its deviation.
const ewmaWeight = 0.3

// maxSampleFactor bounds the ratio between a sample and the current estimate, so that a clock
// step or a run of a few tokens cannot distort a rate further.
const maxSampleFactor = 16

// minPrefillSample is the fewest computed prompt tokens that give a prefill sample. For shorter
// prompts the fixed cost of a step dominates.
const minPrefillSample = 256

// limits are the target's concurrency limits and the cost of an output token.
type limits struct {
	slots           int
	memory          float64
	outputTokenCost float64
}

func (l *limits) configure(service *mustardtidev1.Service) {
	l.slots = int(service.GetSlots())
	if l.slots == 0 {
		l.slots = defaultSlots
	}
	l.memory = float64(service.GetMemory())
	prefill, decode := configuredRates(service)
	// An output token occupies one slot for one decode step. In that time the target can
	// compute this many prompt tokens.
	l.outputTokenCost = max(1, prefill*decode/float64(l.slots))
}

// rates are the target's measured speeds, in seconds and tokens.
type rates struct {
	prefill         float64
	decode          float64
	requestOverhead float64 // fixed slot time of a request besides its tokens
	meanMemory      float64 // mean memory of a running request, in tokens

	configuredPrefill float64
	configuredDecode  float64
}

func configuredRates(service *mustardtidev1.Service) (prefill, decode float64) {
	prefill = service.GetPrefill()
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	decode = service.GetDecode().AsDuration().Seconds()
	if decode <= 0 {
		decode = defaultDecode.Seconds()
	}
	return prefill, decode
}

func (r *rates) configure(service *mustardtidev1.Service) {
	prefill, decode := configuredRates(service)
	if prefill != r.configuredPrefill {
		r.prefill, r.configuredPrefill = prefill, prefill
	}
	if decode != r.configuredDecode {
		r.decode, r.configuredDecode = decode, decode
	}
	if r.requestOverhead == 0 && service.GetKind() == "plain" {
		r.requestOverhead = defaultPlainTime.Seconds()
	}
}

// slotTime returns the slot time of a request or a sum of requests, in seconds.
func (r *rates) slotTime(s sums) float64 {
	return s.fresh/r.prefill + s.output*r.decode + float64(s.count)*r.requestOverhead
}

// concurrency returns how many requests the target runs at once on average: its slots, or fewer
// if memory is exhausted first.
func (r *rates) concurrency(l *limits) float64 {
	n := float64(l.slots)
	if l.memory > 0 && r.meanMemory > 0 {
		n = min(n, max(1, l.memory/r.meanMemory))
	}
	return n
}

// measurePrefill updates the prefill rate with the time taken to compute some prompt tokens.
func (r *rates) measurePrefill(fresh float64, took time.Duration) {
	if fresh >= minPrefillSample && took > 0 {
		r.prefill = ewma(r.prefill, fresh/took.Seconds())
	}
}

// measureFinish updates the decode time from the time between a request's first output and its
// end. For a request without tokens it updates the fixed overhead.
func (r *rates) measureFinish(it *item, output uint64) {
	now := time.Now()
	if output > 1 && it.hasFirstOutput {
		r.decode = ewma(r.decode, now.Sub(it.firstOutputAt).Seconds()/float64(output-1))
	}
	if output == 0 && it.demand.prompt == 0 {
		r.requestOverhead = ewma(r.requestOverhead, now.Sub(it.startedAt).Seconds())
	}
}

func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	sample = min(max(sample, old/maxSampleFactor), old*maxSampleFactor)
	return old + ewmaWeight*(sample-old)
}
