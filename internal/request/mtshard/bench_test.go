package mtshard_test

import (
	"crypto/rand"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtshard"
)

// BenchmarkLoad reads a shard of 50,000 keys out of packs, as a fresh home
// does, and reports the bytes that a key costs in the platform and in memory.
func BenchmarkLoad(b *testing.B) {
	const keys, perPack = 50_000, 5_000
	var objects [][]byte
	size := 0
	for p := range keys / perPack {
		segment := &mustardtidev1.Segment{Number: uint64(p + 1), Writer: rand.Text(), Time: timestamppb.Now()}
		for range perPack {
			id := make([]byte, 16)
			_, _ = rand.Read(id)
			segment.Claims = append(segment.Claims, &mustardtidev1.Claim{
				Id: id, Print: id, Run: rand.Text(), Attempt: 1, Target: "consent-0", Process: "UNVZBZPWTLXPYZG2YVLBK4ZKPK",
				Until: timestamppb.New(time.Now().Add(24 * time.Hour)),
			})
		}
		pack := &mustardtidev1.Pack{Upto: segment.GetNumber(), Segments: []*mustardtidev1.Segment{segment}}
		data, err := proto.Marshal(pack)
		if err != nil {
			b.Fatal(err)
		}
		objects = append(objects, data)
		size += len(data)
	}
	last := map[string]*mustardtidev1.Segment{"v": {Number: keys/perPack + 1, Time: timestamppb.Now()}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var s *mtshard.Shard
	for b.Loop() {
		packs := map[string]*mustardtidev1.Pack{}
		for i, data := range objects {
			packs[fmt.Sprint(i)] = &mustardtidev1.Pack{}
			if err := proto.Unmarshal(data, packs[fmt.Sprint(i)]); err != nil {
				b.Fatal(err)
			}
		}
		s = mtshard.New()
		if err := s.Load(last, packs); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(objects)
	b.ReportMetric(float64(size)/keys, "platform-B/key")
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(s.Keys()), "memory-B/key")
}
