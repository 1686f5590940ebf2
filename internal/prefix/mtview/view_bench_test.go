package mtview_test

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
	"github.com/mustardtide/mustardtide/internal/prefix/mtview"
)

// BenchmarkView measures Store and reports the memory per mark at the expected size: 78,000
// blocks per engine with one mark each.
func BenchmarkView(b *testing.B) {
	const marks = 78000
	view := mtview.New()
	view.SetIncarnation("1")
	view.Open("1")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var mark [mtchain.MarkSize]byte
	for i := range marks {
		binary.LittleEndian.PutUint64(mark[:], uint64(i)*0x9e3779b97f4a7c15)
		view.Store("1", mark)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		binary.LittleEndian.PutUint64(mark[:], uint64(i%marks)*0x9e3779b97f4a7c15)
		view.Store("1", mark)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/marks, "B/mark")
}
