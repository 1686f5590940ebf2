package mtlist_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtlist"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	standin "github.com/mustardtide/mustardtide/internal/standin/mtplatform"

	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

const address = "10.0.0.1:80"

func member(i int, leaving bool) *mustardtidev1.Member {
	return &mustardtidev1.Member{
		Name: fmt.Sprintf("trip-%d", i), Role: "sidecar", Service: "trip", Datacentre: "imanta",
		Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Leaving: leaving,
	}
}

// The platform's list goes away while instances run. A router that took an
// unreadable list for an empty one would refuse every request; this one keeps
// what it knew and sees the changes once the platform is back.
func TestListOutlivesThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		wire, platform := mtwire.New(), standin.New()
		listener, err := wire.Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		server := mtserver.New(listener, nil, platform)
		served := make(chan error, 1)
		go func() { served <- server.Start(context.Background()) }()
		platform.PutMember(member(0, false))
		platform.PutMember(member(1, false))

		ctx, cancel := context.WithCancel(context.Background())
		list := mtlist.New(mtevent.New("entry-0", &mtstamp.Clock{}, nil))
		transport := wire.Net().Outside()
		done := list.Follow(ctx, mtplatform.New("http://"+address, "default", transport))
		time.Sleep(time.Second)
		g.Expect(list.All()).To(HaveLen(2))

		wire.Down(address, true)
		wire.Cut(address)
		platform.PutMember(member(1, true))
		platform.DropMember("trip-0")
		time.Sleep(time.Hour)
		g.Expect(list.All()).To(HaveLen(2))
		g.Expect(list.Find("trip-1").GetLeaving()).To(BeFalse())

		wire.Down(address, false)
		time.Sleep(10 * time.Second)
		g.Expect(list.All()).To(HaveLen(1))
		g.Expect(list.Find("trip-1").GetLeaving()).To(BeTrue())

		cancel()
		g.Expect(<-done).To(Succeed())
		transport.CloseIdleConnections()
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	})
}
