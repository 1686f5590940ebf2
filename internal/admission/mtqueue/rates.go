package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Defaults of a service whose settings give none; they hold until the first
// requests are measured.
const (
	defaultSlots   = 8
	defaultPrefill = 10000
	defaultDecode  = 20 * time.Millisecond
	plainTime      = 100 * time.Millisecond
)

// gain is the weight of a new measurement: after three runs two thirds of a
// change are taken in, and a single outlier moves an estimate by a third.
const gain = 0.3

// swing bounds one measurement against the estimate, so that a clock step or a
// run of a few tokens can't turn a rate by more than this factor.
const swing = 16

// leastFresh is the fewest computed prompt tokens of which a prefill rate is
// measured: below it the fixed part of a step decides.
const leastFresh = 256

// limits is what a target can run at once.
type limits struct {
	slots    int
	memory   float64
	exchange float64
}

func (l *limits) configure(service *mustardtidev1.Service) {
	l.slots = int(service.GetSlots())
	if l.slots == 0 {
		l.slots = defaultSlots
	}
	l.memory = float64(service.GetMemory())
	prefill, decode := configured(service)
	// An output token takes one slot for one decode step; in that time the
	// target computes this many prompt tokens.
	l.exchange = max(1, prefill*decode/float64(l.slots))
}

// rates is how fast the target works, as measured; seconds and tokens.
type rates struct {
	prefill float64
	decode  float64
	request float64 // slot time of a request beside its tokens
	memory  float64 // mean memory of a running request

	setPrefill float64
	setDecode  float64
}

func configured(service *mustardtidev1.Service) (prefill, decode float64) {
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
	prefill, decode := configured(service)
	if prefill != r.setPrefill {
		r.prefill, r.setPrefill = prefill, prefill
	}
	if decode != r.setDecode {
		r.decode, r.setDecode = decode, decode
	}
	if r.request == 0 && service.GetKind() == "plain" {
		r.request = plainTime.Seconds()
	}
}

// hold is the slot time of a request's or a sum's tokens, in seconds.
func (r *rates) hold(s sums) float64 {
	return s.fresh/r.prefill + s.output*r.decode + float64(s.count)*r.request
}

// parallel is how many requests the target runs at once on average: its slots,
// or fewer where memory is used up first.
func (r *rates) parallel(l *limits) float64 {
	n := float64(l.slots)
	if l.memory > 0 && r.memory > 0 {
		n = min(n, max(1, l.memory/r.memory))
	}
	return n
}

// measurePrefill takes in the time that some prompt tokens took.
func (r *rates) measurePrefill(fresh float64, took time.Duration) {
	if fresh >= leastFresh && took > 0 {
		r.prefill = blend(r.prefill, fresh/took.Seconds())
	}
}

// measureEnd takes in a run's time from its first output to its end.
func (r *rates) measureEnd(it *item, output uint64) {
	now := time.Now()
	if output > 1 && it.seen {
		r.decode = blend(r.decode, now.Sub(it.firstAt).Seconds()/float64(output-1))
	}
	if output == 0 && it.need.prompt == 0 {
		r.request = blend(r.request, now.Sub(it.begun).Seconds())
	}
}

func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	sample = min(max(sample, old/swing), old*swing)
	return old + gain*(sample-old)
}
