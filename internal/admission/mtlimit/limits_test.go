package mtlimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// One account sends a hundred times its rate through one of four entries, then
// opens more streams than it may. It must get its share of the rate, no more,
// each refusal must say a time at which the request passes, and a calm account
// must not notice. Cause: nothing but the account itself bounds what it sends.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := mtlimit.New()
		hot := &mustardtidev1.Account{Name: "hot", Rate: proto.Float64(4000), Burst: proto.Float64(4000)}
		calm := &mustardtidev1.Account{Name: "calm", Rate: proto.Float64(4000)}
		const entries, cost = 4, 100
		passed := 0
		for i := range 6000 {
			refusal := limits.Enter(hot, cost, entries)
			if refusal == nil {
				passed++
				limits.Leave(hot, cost, cost, entries)
			} else {
				g.Expect(refusal.Code()).To(Equal(mtcode.RateExceeded))
				g.Expect(refusal.Wait()).To(BeNumerically(">", 0))
			}
			if i%100 == 0 {
				g.Expect(passes(limits.Enter(calm, cost, entries))).To(BeTrue())
				limits.Leave(calm, cost, cost, entries)
			}
			time.Sleep(10 * time.Millisecond)
		}
		// A minute of a quarter of the rate, and the burst's quarter.
		g.Expect(passed).To(BeNumerically("~", 60*10+10, 2))

		refusal := limits.Enter(hot, cost, entries)
		for ; refusal == nil; refusal = limits.Enter(hot, cost, entries) {
			limits.Leave(hot, cost, 0, entries)
			g.Expect(passes(limits.Enter(hot, cost, entries))).To(BeTrue(), "what did not run costs nothing")
		}
		time.Sleep(refusal.Wait())
		g.Expect(passes(limits.Enter(hot, cost, entries))).To(BeTrue())
	})
}

func TestStreams(t *testing.T) {
	g := NewWithT(t)
	limits := mtlimit.New()
	account := &mustardtidev1.Account{Name: "schools", Streams: proto.Uint32(3)}
	for range 3 {
		g.Expect(passes(limits.Enter(account, 10, 1))).To(BeTrue())
	}
	refusal := limits.Enter(account, 10, 1)
	g.Expect(refusal.Code()).To(Equal(mtcode.StreamsExceeded))
	g.Expect(refusal.Wait()).To(BeNumerically(">", 0))
	limits.Leave(account, 10, 10, 1)
	g.Expect(passes(limits.Enter(account, 10, 1))).To(BeTrue())
}

func passes(refusal *mtrefusal.Refusal) bool { return refusal == nil }
