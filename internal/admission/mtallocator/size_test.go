package mtallocator_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// What an entry sends for the quotas stays within a share of the 5 KB per second that control
// traffic may use: heartbeats to eight allocators, and needs of the accounts in use.
func TestDrawsAreSmall(t *testing.T) {
	g := NewWithT(t)
	const header = 28
	heartbeat := &fleetv1.Word{Word: &fleetv1.Word_Draw{Draw: &fleetv1.Draw{Shard: 71, Run: 1 << 63, Number: 1 << 20}}}
	need := &fleetv1.Word{Word: &fleetv1.Word_Draw{Draw: &fleetv1.Draw{Shard: 71, Run: 1 << 63, Number: 1 << 20, Needs: []*fleetv1.Need{
		{Account: "account-12345", Ahead: 9000, Held: 900},
	}}}}
	t.Logf("a heartbeat takes %d bytes, a need in a draw of its own %d", header+proto.Size(heartbeat), header+proto.Size(need))
	g.Expect(8 * 5 * (header + proto.Size(heartbeat))).To(BeNumerically("<", 2200))
	longer := &fleetv1.Word{Word: &fleetv1.Word_Draw{Draw: &fleetv1.Draw{Shard: 71, Run: 1 << 63, Number: 1 << 20, Lease: 30000}}}
	g.Expect(8 * 5 * (header + proto.Size(longer))).To(BeNumerically("<", 2200))
	g.Expect(proto.Size(need) - proto.Size(heartbeat)).To(BeNumerically("<", 30))
}
