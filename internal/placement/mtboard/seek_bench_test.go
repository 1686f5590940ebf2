package mtboard_test

import (
	"fmt"
	"testing"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimit"
	"github.com/mustardtide/mustardtide/internal/admission/mtlimiter"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

func BenchmarkSidecarsOf(b *testing.B) {
	for _, engines := range []int{18, 625, 2700} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			board := mtboard.New("north", gracePeriod, mtlimiter.New("", mtlimit.New()))
			list := map[string]*fleetv1.Target{}
			for i := range engines {
				id := fmt.Sprint("e", i)
				list[id] = &fleetv1.Target{
					Id: id, Service: "pool", Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Datacentre: []string{"north", "south"}[i%2],
					Models: []*fleetv1.Weights{{Model: "m", Version: 1}},
				}
			}
			board.UpdateTargets(list, func(*fleetv1.Target) bool { return false })
			for id := range list {
				board.UpdateState(state(id, 1))
			}
			stream := []byte("0123456789abcdef")
			for b.Loop() {
				board.SidecarsOf(stream, 2, true, time.Second)
			}
		})
	}
}
