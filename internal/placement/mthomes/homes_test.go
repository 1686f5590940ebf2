package mthomes_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mthomes"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("engine-%04d", i))
	}
	return list
}

func mark(i int) [mtchain.MarkSize]byte {
	var granule [8]byte
	binary.LittleEndian.PutUint64(granule[:], uint64(i))
	return mtchain.NextHash(mtchain.RootHash("salt"), granule[:])
}

// Guards against prefixes that change their home although it is still there when
// another engine leaves: the fleet would compute everything again at each restart
// of an engine.
func TestRemovedTargetMovesFewHomes(t *testing.T) {
	g := NewWithT(t)
	const targets, marks = 20, 10000
	all := names(targets)
	before, after := mthomes.New(all), mthomes.New(all[:targets-1])
	moved := 0
	for i := range marks {
		homeBefore, homeAfter := before.Append(nil, mark(i), 1)[0], after.Append(nil, mark(i), 1)[0]
		if int(homeBefore) != targets-1 && homeBefore != homeAfter {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", marks/20))
}

// Guards against targets that are home to many more prefixes than others at the
// fleet size that the project is designed for.
func TestHomesAreEvenlySpreadAndDistinct(t *testing.T) {
	g := NewWithT(t)
	const targets, marks = 2700, 270000
	homes := mthomes.New(names(targets))
	counts := make([]int, targets)
	for i := range marks {
		list := homes.Append(nil, mark(i), 3)
		g.Expect(list).To(HaveLen(3))
		g.Expect(list[0] == list[1] || list[1] == list[2] || list[0] == list[2]).To(BeFalse())
		counts[list[0]]++
	}
	for _, count := range counts {
		g.Expect(count).To(BeNumerically("~", marks/targets, 60))
	}
}
