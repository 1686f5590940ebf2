// Package mtcopy decides which runs are copied to a second engine while they are in progress, so
// that they can go on there if their engine crashes.
//
// A copy costs transfer time on every run, and is of use only if the engine crashes. It is
// therefore made only where crashes have been seen of late and the expected loss is above the
// price.
package mtcopy

import (
	"math"
	"sync"
	"time"
)

const (
	// halfLife is the time in which the weight of a crash halves, memory how long it counts at
	// all.
	halfLife = 20 * time.Second
	memory   = time.Minute
	// maxTransferShare is the greatest transfer time of a token, as a part of its prefill time.
	// Above it, copies take a noticeable part of the links that runs fetch cached parts over.
	maxTransferShare = 1.0 / 32
)

// weightedSeconds is the integral of a crash's weight over memory. It turns the sum of the weights
// into a rate.
var weightedSeconds = halfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-memory.Seconds()/halfLife.Seconds()))

// program is one start of an engine, born in Unix milliseconds, 0 if unknown.
type program struct {
	target string
	born   int64
}

// Copies holds the recent crashes by service. It is safe for concurrent use.
type Copies struct {
	mu      sync.Mutex
	crashes map[string]map[program]time.Time
}

// New returns a decision that knows of no crash.
func New() *Copies { return &Copies{crashes: map[string]map[program]time.Time{}} }

// RecordCrash records that an engine of a service crashed: its id and the start of its program in
// Unix milliseconds, 0 if unknown. age is how long ago it was. A program counts once, however many
// of its runs broke off.
func (c *Copies) RecordCrash(service, target string, born int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(service)
	if c.crashes[service] == nil {
		c.crashes[service] = map[program]time.Time{}
	}
	key := program{target, born}
	if _, known := c.crashes[service][key]; !known && age <= memory {
		c.crashes[service][key] = time.Now().Add(-age)
	}
}

// Rate returns the crashes per engine and second of a service with a number of engines.
func (c *Copies) Rate(service string, engines int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(service)
	var weights float64
	for _, at := range c.crashes[service] {
		weights += math.Exp2(-time.Since(at).Seconds() / halfLife.Seconds())
	}
	return weights / weightedSeconds / float64(max(1, engines))
}

// Pays reports whether a copy of a run is worth its price, the time of its transfer. lasting is how
// long the run is expected to last, loss what is lost if its engine crashes.
func (c *Copies) Pays(service string, engines int, lasting, loss, price time.Duration) bool {
	hazard := c.Rate(service, engines) * lasting.Seconds()
	return hazard*loss.Seconds() > price.Seconds()
}

// Affordable reports whether the transfer time of a token is small enough beside its prefill time
// for copies to be made at all. Both must be known, that is above 0.
func (c *Copies) Affordable(transfer, prefill time.Duration) bool {
	return transfer > 0 && prefill > 0 && float64(transfer) <= maxTransferShare*float64(prefill)
}

// expire drops the crashes of a service that no longer count. The caller holds mu.
func (c *Copies) expire(service string) {
	for key, at := range c.crashes[service] {
		if time.Since(at) > memory {
			delete(c.crashes[service], key)
		}
	}
}
