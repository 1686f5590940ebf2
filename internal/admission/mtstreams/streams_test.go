package mtstreams_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/admission/mtstreams"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

func TestStreams(t *testing.T) {
	g := NewWithT(t)
	streams := mtstreams.New()
	account := &mustardtidev1.Account{Name: "schools", Streams: proto.Uint32(3)}
	for range 3 {
		g.Expect(admitted(streams.Acquire(account))).To(BeTrue())
	}
	refusal := streams.Acquire(account)
	g.Expect(refusal.Code()).To(Equal(mtcode.StreamsExceeded))
	g.Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
	streams.Release(account)
	g.Expect(admitted(streams.Acquire(account))).To(BeTrue())
}

func admitted(refusal *mtrefusal.Refusal) bool { return refusal == nil }
