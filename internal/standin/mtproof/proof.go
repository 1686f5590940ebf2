// Package mtproof prints what a proof of the brief's promises has checked.
package mtproof

import (
	"fmt"
	"strings"
	"sync"
)

// verdict is the part of testing.TB that a proof needs.
type verdict interface {
	Failed() bool
	Cleanup(func())
}

// Proof counts what one proof checked and prints one line at its test's end:
//
//	proof NAME pass|fail histories=N operations=N faults=N
type Proof struct {
	name string

	mu     sync.Mutex
	order  []string
	counts map[string]int
}

// New returns a proof that prints its line when the test t ends.
func New(t verdict, name string) *Proof {
	p := &Proof{name: name, counts: map[string]int{}}
	t.Cleanup(func() { fmt.Println(p.line(t.Failed())) })
	return p
}

// Add adds to a named count, such as histories, operations or faults.
func (p *Proof) Add(count string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.counts[count]; !known {
		p.order = append(p.order, count)
	}
	p.counts[count] += n
}

func (p *Proof) line(failed bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	word := "pass"
	if failed {
		word = "fail"
	}
	fmt.Fprintf(&b, "proof %s %s", p.name, word)
	for _, count := range p.order {
		fmt.Fprintf(&b, " %s=%d", count, p.counts[count])
	}
	return b.String()
}
