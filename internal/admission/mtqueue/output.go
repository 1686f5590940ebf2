package mtqueue

import (
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// keptOutputs bounds the accounts and services whose answers are remembered:
// 12,000 accounts in steady use, each with one service at a target, and a third
// to spare; about 100 bytes each.
const keptOutputs = 16384

// outputs estimates an answer's length from the account's earlier answers. A
// caller asks for the most it would take; most answers are far shorter, and a
// caller that names no bound asks for none.
type outputs struct {
	ratio map[service]float64
	ring  []service
	next  int
}

// service names an account's use of a service.
type service struct {
	account string
	name    string
}

// expect is the expected output tokens of a request, and whether they are
// learned; the most that the caller asks for otherwise.
func (o *outputs) expect(work *mustardtidev1.Work) (float64, bool) {
	asked := float64(work.GetOutput())
	ratio, known := o.ratio[service{work.GetAccount(), work.GetService()}]
	if !known {
		return asked, false
	}
	return asked * ratio, true
}

// learn takes in a finished answer's length. The oldest account entered makes
// room for a new one.
func (o *outputs) learn(work *mustardtidev1.Work, output uint64) {
	if work.GetOutput() == 0 || output == 0 {
		return
	}
	name := service{work.GetAccount(), work.GetService()}
	sample := float64(output) / float64(work.GetOutput())
	if old, known := o.ratio[name]; known {
		o.ratio[name] = blend(old, sample)
		return
	}
	if o.ratio == nil {
		o.ratio = map[service]float64{}
	}
	if len(o.ring) < keptOutputs {
		o.ring = append(o.ring, name)
	} else {
		delete(o.ratio, o.ring[o.next])
		o.ring[o.next] = name
		o.next = (o.next + 1) % keptOutputs
	}
	o.ratio[name] = sample
}
