package mtprompt_test

import (
	"bytes"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtprompt"
)

// work returns a run whose chain begins with marks that others have, and goes on with its own.
func work(shared, own int, seed byte) *mustardtidev1.Work {
	var chain []byte
	for i := range shared + own {
		mark := byte(i)
		if i >= shared {
			mark ^= seed
		}
		chain = append(chain, bytes.Repeat([]byte{mark}, 16)...)
	}
	return &mustardtidev1.Work{Chain: chain, Print: []byte{seed}}
}

// Guards against runs whose prompts begin alike, one longer than the other, and that have nothing
// in common.
func TestPromptsThatBeginAlike(t *testing.T) {
	g := NewWithT(t)
	for shared, common := range map[int]int{0: 0, 1: 1, 3: 3, 12: 7, 25: 10, 200: 16} {
		one := mtprompt.Components(work(shared, 2, 0x80))
		other := mtprompt.Components(work(shared, 30, 0xc0))
		count := 0
		for _, name := range one {
			if slices.Contains(other, name) {
				count++
			}
		}
		g.Expect(count).To(Equal(common), "of %d", shared)
	}
}

// Guards against a chain of any length that fills the memory, and a run without one.
func TestComponentsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mtprompt.Components(work(0, 5000, 1))).To(HaveLen(17))
	one := mtprompt.Components(&mustardtidev1.Work{Print: []byte("one")})
	g.Expect(one).To(HaveLen(1))
	g.Expect(one[0].IsWhole()).To(BeTrue())
}
