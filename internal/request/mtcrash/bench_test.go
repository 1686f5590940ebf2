package mtcrash_test

import (
	"fmt"
	"testing"

	"github.com/mustardtide/mustardtide/internal/request/mtcrash"
)

// BenchmarkCulprits searches as many crashes as are kept, which share some components.
func BenchmarkCulprits(b *testing.B) {
	c := mtcrash.New()
	for i := range 128 {
		ids := []string{"d"}
		for j := range 63 {
			ids = append(ids, fmt.Sprintf("c%x", (i*31+j*17)%2000))
		}
		c.Add(crash(fmt.Sprint("engine-", i), ids...))
	}
	settle()
	for b.Loop() {
		c.Culprits(nothing, nobody)
	}
}
