package mtplace_test

import (
	"fmt"
	"runtime"
	"testing"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtplace"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

func members(n int) []*mustardtidev1.Member {
	var list []*mustardtidev1.Member
	for i := range n {
		list = append(list, &mustardtidev1.Member{Name: fmt.Sprintf("engine-%04d", i), Datacentre: fmt.Sprint(i % 10)})
	}
	return list
}

// prompts returns chains of 40 marks for a few hundred documents.
func prompts() []mtchain.Chain {
	var list []mtchain.Chain
	for i := range 256 {
		text := make([]byte, 40*1024)
		copy(text[20*1024:], fmt.Sprintf("dossier %d", i))
		list = append(list, mtchain.New("salt", 64, 16, text))
	}
	return list
}

// BenchmarkPlacement measures one decision without offers: listing the candidates, ranking them and
// recording the run. Its time must not grow with the number of targets.
func BenchmarkPlacement(b *testing.B) {
	for _, targets := range []int{20, 270, 2700} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			place := mtplace.New("0", 1)
			place.SetMembers(members(targets))
			runtime.GC()
			runtime.ReadMemStats(&after)
			chains := prompts()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				choice := place.Choose(chains[i%len(chains)], 10240)
				place.Rank(choice)
				place.RecordSent(choice, choice.Target(0).Name())
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-B")
		})
	}
}

// BenchmarkMembership measures one update of the list of targets.
func BenchmarkMembership(b *testing.B) {
	for _, targets := range []int{20, 270, 2700} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			list := members(targets)
			place := mtplace.New("0", 1)
			for b.Loop() {
				place.SetMembers(list)
			}
		})
	}
}
