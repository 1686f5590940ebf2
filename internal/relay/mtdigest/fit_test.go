package mtdigest_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtdigest"
)

// Failure: engines crash under many requests, the digest that names them is longer than a
// datagram, and nothing of it is sent.
func TestDigestFitsADatagram(t *testing.T) {
	g := NewWithT(t)
	digest := &fleetv1.Digest{Entry: "entry-1", Targets: 1 << 40, Sum: 1 << 63}
	for i := range 40 {
		digest.Crashes = append(digest.Crashes, &fleetv1.Crash{
			Target: fmt.Sprintf("engine-%d", i), Born: 1776650983025, Age: 1000, Components: []uint64{1, 2}, Sent: []uint32{100, 200},
		})
		digest.Bans = append(digest.Bans, &fleetv1.Ban{Components: []uint64{3, 4}, Age: durationpb.New(time.Duration(i) * 1234567890)})
		digest.Acquittals = append(digest.Acquittals, &fleetv1.Acquittal{Component: 5, Age: 1000})
	}
	mtdigest.Fit(digest, 1300)
	g.Expect(proto.Size(digest)).To(BeNumerically("<=", 1300))
	g.Expect(digest.GetBans()).To(BeEmpty())
	g.Expect(digest.GetAcquittals()).To(BeEmpty())
	g.Expect(len(digest.GetCrashes())).To(BeNumerically(">", 20))
	g.Expect(digest.GetCrashes()[0].GetTarget()).To(Equal("engine-0"))
	digest.Crashes = digest.Crashes[:2]
	digest.Bans = []*fleetv1.Ban{{Components: []uint64{3}}}
	mtdigest.Fit(digest, 1300)
	g.Expect(digest.GetBans()).To(HaveLen(1))
	g.Expect(digest.GetCrashes()).To(HaveLen(2))
}
