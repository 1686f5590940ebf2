package main

import (
	"fmt"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"
)

// closedAddress refuses every dial: listed instances that do not run here.
const closedAddress = "127.0.0.1:1"

// listMembers fills a platform's list with instances that do not run, and
// changes one each churn, for measuring what the list costs.
func listMembers(platform *mtplatform.Server, count int, churn time.Duration) {
	for i := range count {
		platform.PutMember(listed(i, false))
	}
	if churn <= 0 || count == 0 {
		return
	}
	go func() {
		for i := 0; ; i++ {
			time.Sleep(churn)
			platform.PutMember(listed(i%count, (i/count)%2 == 0))
		}
	}()
}

func listed(i int, leaving bool) *mustardtidev1.Member {
	return &mustardtidev1.Member{
		Name: fmt.Sprintf("listed-%d", i), Role: "sidecar", Address: closedAddress,
		Datacentre: "imanta", Service: "trip", Leaving: leaving,
	}
}
