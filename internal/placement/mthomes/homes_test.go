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
	return mtchain.Next(mtchain.Root("salt"), granule[:])
}

// An engine leaves. Dossiers that had their home elsewhere must keep it, or
// the fleet computes everything anew each time one engine restarts.
func TestOneTargetLessMovesFewHomes(t *testing.T) {
	g := NewWithT(t)
	const targets, marks = 20, 10000
	all := names(targets)
	before, after := mthomes.New(all), mthomes.New(all[:targets-1])
	moved := 0
	for i := range marks {
		was, is := before.Append(nil, mark(i), 1)[0], after.Append(nil, mark(i), 1)[0]
		if int(was) != targets-1 && was != is {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", marks/20))
}

// At the size in view some targets must not be home to many more prefixes than
// others.
func TestHomesAreEvenAndDiffer(t *testing.T) {
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
