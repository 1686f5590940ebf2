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

// Failure: an engine crashes under many requests, the digest that names them is longer
// than a datagram, and nothing of it is sent.
func TestDigestFitsADatagram(t *testing.T) {
	g := NewWithT(t)
	digest := &fleetv1.Digest{Entry: "entry-1", Targets: 1 << 40, Sum: 1 << 63}
	for i := range 40 {
		digest.Suspects = append(digest.Suspects, &fleetv1.Suspect{Digest: make([]byte, 16), Source: fmt.Sprintf("engine-%d/1776650983025", i)})
		digest.Bans = append(digest.Bans, &fleetv1.Ban{Digest: make([]byte, 16), Age: durationpb.New(time.Duration(i) * 1234567890)})
	}
	mtdigest.Fit(digest, 1300)
	g.Expect(proto.Size(digest)).To(BeNumerically("<=", 1300))
	g.Expect(digest.GetBans()).To(BeEmpty())
	g.Expect(len(digest.GetSuspects())).To(BeNumerically(">", 20))
	g.Expect(digest.GetSuspects()[len(digest.GetSuspects())-1].GetSource()).To(HavePrefix("engine-39/"))
	digest.Suspects = digest.Suspects[:2]
	digest.Bans = []*fleetv1.Ban{{Digest: make([]byte, 16)}}
	mtdigest.Fit(digest, 1300)
	g.Expect(digest.GetBans()).To(HaveLen(1))
	g.Expect(digest.GetSuspects()).To(HaveLen(2))
}
