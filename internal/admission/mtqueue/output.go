package mtqueue

import (
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// maxOutputEstimates bounds the number of account and service pairs with an estimate. It covers
// 12,000 active accounts, each using one service of a target, plus a third; an entry takes
// about 100 bytes.
const maxOutputEstimates = 16384

// outputEstimates predicts the output length of a request from its account's earlier outputs of
// the same service. A caller's bound on output tokens is the most that it accepts, and most
// outputs are far shorter. A request without a bound has an estimate of zero.
type outputEstimates struct {
	ratio map[serviceKey]float64
	ring  []serviceKey
	next  int
}

// serviceKey identifies an account's use of a service.
type serviceKey struct {
	account string
	name    string
}

// estimate returns the expected output tokens of a request and whether they were learned.
// Without earlier outputs it returns the caller's bound.
func (o *outputEstimates) estimate(work *mustardtidev1.Work) (float64, bool) {
	requested := float64(work.GetOutput())
	ratio, learned := o.ratio[serviceKey{work.GetAccount(), work.GetService()}]
	if !learned {
		return requested, false
	}
	return requested * ratio, true
}

// record updates the estimate with the length of a finished output. A new entry replaces the
// one added first once the table is full.
func (o *outputEstimates) record(work *mustardtidev1.Work, output uint64) {
	if work.GetOutput() == 0 || output == 0 {
		return
	}
	id := serviceKey{work.GetAccount(), work.GetService()}
	sample := float64(output) / float64(work.GetOutput())
	if old, known := o.ratio[id]; known {
		o.ratio[id] = ewma(old, sample)
		return
	}
	if o.ratio == nil {
		o.ratio = map[serviceKey]float64{}
	}
	if len(o.ring) < maxOutputEstimates {
		o.ring = append(o.ring, id)
	} else {
		delete(o.ratio, o.ring[o.next])
		o.ring[o.next] = id
		o.next = (o.next + 1) % maxOutputEstimates
	}
	o.ratio[id] = sample
}
