//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// balancer is the platform's: it asks each entry once a second whether it is ready, and leads no
// new connections to one that missed twice until it answers with 200 again.
type balancer struct {
	ips    []string
	client *http.Client

	mu     sync.Mutex
	misses []int
}

func newBalancer(ips ...string) *balancer {
	return &balancer{ips: ips, client: &http.Client{Timeout: 900 * time.Millisecond}, misses: make([]int, len(ips))}
}

func (b *balancer) run(f *fleet) {
	for range time.Tick(time.Second) {
		for i, ip := range b.ips {
			response, err := b.client.Get("http://" + ip + ":8789/api/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			b.mu.Lock()
			if ready {
				b.misses[i] = 0
			} else {
				b.misses[i]++
			}
			if b.misses[i] == 2 {
				f.record.say("front-%d is out of rotation", i)
			}
			b.mu.Unlock()
		}
	}
}

// pick returns the entry for a new connection: one of those in rotation, or of all where fewer than
// half are.
func (b *balancer) pick(hash int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for i, misses := range b.misses {
		if misses < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(b.misses) {
		return hash % len(b.misses)
	}
	return in[hash%len(in)]
}
