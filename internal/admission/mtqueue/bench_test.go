package mtqueue_test

import (
	"fmt"
	"runtime"
	"testing"

	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtqueue"
)

// BenchmarkAdmission measures one admission decision plus the start or end of the request that
// makes room for the next, with one waiting request per account.
func BenchmarkAdmission(b *testing.B) {
	for _, accounts := range []int{8, 12000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			works := make([]*mustardtidev1.Work, accounts+1)
			for i := range works {
				works[i] = &mustardtidev1.Work{
					Run: fmt.Sprintf("run-%d", i), Attempt: 1, Account: fmt.Sprintf("account-%d", i), Service: "trip",
					Prompt: 100, Output: 10, Class: mustardtidev1.Class_SHORT, Left: durationpb.New(time.Hour),
				}
			}
			before := heapAlloc()
			q := mtqueue.New(&mustardtidev1.Service{Slots: proto.Uint32(16), Prefill: proto.Float64(1e6), Decode: durationpb.New(10 * time.Millisecond)}, nil)
			for _, work := range works[:accounts] {
				if refusal := q.Add(work, 0); refusal != nil {
					b.Fatal(refusal)
				}
			}
			stateBytes := float64(heapAlloc()-before) / float64(accounts)
			b.ReportAllocs()
			next := accounts
			for b.Loop() {
				if refusal := q.Add(works[next], 0); refusal != nil {
					b.Fatal(refusal)
				}
				next = (next + 1) % len(works)
				q.Done(works[next].GetRun(), 1, nil)
			}
			b.ReportMetric(stateBytes, "B/account")
		})
	}
}

// BenchmarkRefusal measures refusing a request whose deadline is before the predicted end of
// the backlog.
func BenchmarkRefusal(b *testing.B) {
	for _, accounts := range []int{8, 12000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := mtqueue.New(&mustardtidev1.Service{Slots: proto.Uint32(16), Prefill: proto.Float64(1e6), Decode: durationpb.New(10 * time.Millisecond)}, nil)
			for i := range accounts {
				q.Add(&mustardtidev1.Work{Run: fmt.Sprintf("run-%d", i), Account: fmt.Sprintf("account-%d", i), Prompt: 100, Output: 10, Left: durationpb.New(time.Hour)}, 0)
			}
			work := &mustardtidev1.Work{Run: "late", Account: "account-0", Prompt: 100, Output: 10, Left: durationpb.New(time.Microsecond)}
			b.ReportAllocs()
			for b.Loop() {
				if q.Add(work, 0) == nil {
					b.Fatal("not refused")
				}
			}
		})
	}
}

func heapAlloc() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
