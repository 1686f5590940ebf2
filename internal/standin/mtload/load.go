// Package mtload sends a bounded load of nested prompts to an entry and reports
// what the callers got.
package mtload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Bounds of any load: it is for loopback and stops by itself.
const (
	maxRate = 2000
	maxTime = 5 * time.Minute
)

// Load is an open loop: requests start at their times whether or not earlier
// ones have ended, as callers do that know nothing of each other.
type Load struct {
	entry    string
	model    string
	keys     []string
	rate     float64
	duration time.Duration
	tokens   int
	shape    shape
	http     *http.Client
	random   *rand.Rand
}

// New returns a load on the entry at a URL. Every key's client account asks in
// turn; rate is requests a second over all of them.
func New(entry, model string, keys []string, rate float64, duration time.Duration, tokens int, seed uint64) *Load {
	return &Load{
		entry:    entry,
		model:    model,
		keys:     keys,
		rate:     min(rate, maxRate),
		duration: min(duration, maxTime),
		tokens:   tokens,
		shape:    defaultShape(),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxRate, DisableCompression: true}},
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Run sends the load and returns when the last request has ended or ctx ends.
func (l *Load) Run(ctx context.Context) *Report {
	report := &Report{}
	var group sync.WaitGroup
	start := time.Now()
	for at := l.gap(); at < l.duration; at += l.gap() {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			group.Wait()
			return report
		}
		key := l.keys[l.random.IntN(len(l.keys))]
		prompt := l.shape.prompt(l.random, key)
		group.Go(func() { report.add(l.ask(ctx, key, prompt)) })
	}
	group.Wait()
	l.http.CloseIdleConnections()
	return report
}

// gap is the time to the next arrival of a Poisson process.
func (l *Load) gap() time.Duration {
	return time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second))
}
