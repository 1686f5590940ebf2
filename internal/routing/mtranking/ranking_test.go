package mtranking_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/routing/mtranking"
)

func routes(ranks ...int32) []*fleetv1.Route {
	var list []*fleetv1.Route
	for _, rank := range ranks {
		list = append(list, &fleetv1.Route{Rank: rank})
	}
	return list
}

// Guards against deployments whose routes have neighbouring ranks and that are served otherwise
// than before.
func TestOnlyBackgroundWorkIsRanked(t *testing.T) {
	g := NewWithT(t)
	for _, ranks := range [][]int32{nil, {0}, {2, 2}, {0, 1}, {1, 2}} {
		g.Expect(mtranking.New(routes(ranks...), nil)).To(BeNil(), "%v", ranks)
	}
	g.Expect(mtranking.New(routes(2, 0), nil)).NotTo(BeNil())
}

// Guards against urgent requests that targets admit together with background work, as most
// accounts have the same rank.
func TestRoutesTellRequestsOfOneRankApart(t *testing.T) {
	g := NewWithT(t)
	list := routes(0, 2)
	urgent, background := list[0], list[1]
	r := mtranking.New(list, []*fleetv1.Account{{Rank: proto.Int32(1)}, {Rank: proto.Int32(0)}, {}})
	g.Expect(r.Urgency(1, urgent)).To(BeNumerically("<", r.Urgency(1, background)))
	g.Expect(r.Urgency(0, background)).To(BeNumerically("<", r.Urgency(1, urgent)), "the account's rank goes first")
	g.Expect(r.Urgency(100, background)).To(BeNumerically("<=", 9))
	g.Expect(r.Urgency(-5, urgent)).To(BeNumerically(">=", 0))
	g.Expect(r.Classes()).To(Equal([]int32{0, 1, 2, 3}))
	g.Expect(r.Class(1, urgent)).To(BeZero())
	g.Expect(r.Class(1, background)).To(Equal(int32(2)))
}
