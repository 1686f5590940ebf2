package mtchain_test

import (
	"fmt"
	"testing"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// BenchmarkChain measures the hot path, which reuses the buffer for the marks.
func BenchmarkChain(b *testing.B) {
	for _, size := range []int{2 << 10, 200 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			prompt := make([]byte, size)
			buffer := make([]byte, 0, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				mtchain.Append(buffer, "salt", 64, 16, prompt)
			}
		})
	}
}
