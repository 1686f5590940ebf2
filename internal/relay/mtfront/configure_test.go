package mtfront

import (
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtsink"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/standin/mtpost"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

// newTestFront returns an entry that knows nothing and does not run.
func newTestFront() *Front {
	site := &fleetv1.Site{Name: "entry-0", Address: "10.1.0.1", Firstport: 7340, Lastport: 7355, Store: "10.200.0.1:80"}
	return New(site, mtwire.New().Net(), mtpost.New().Open("10.1.0.1:7340"), mttrail.New("entry-0", mtsink.New(io.Discard)))
}

// versioned is a configuration whose route and service both bear its version, with some accounts.
func versioned(version int64, accounts int) *fleetv1.Catalog {
	catalog := &fleetv1.Catalog{
		Version: version, Revision: version, Access: fleetv1.Access_ACCESS_OPEN,
		Routes:   []*fleetv1.Route{{Host: "fleet.example", Prefix: "/", Rank: int32(version), Attempts: 1, Shares: []*fleetv1.Share{{Service: "app", Weight: 1}}}},
		Services: []*fleetv1.Service{{Name: "app", Connections: int32(version)}},
	}
	for i := range accounts {
		catalog.Accounts = append(catalog.Accounts, &fleetv1.Account{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	return catalog
}

// Failure: the store's watch and another entry tell of two versions at the same time, and the older
// one, which takes longer to index, comes into force last, with keys that were taken away.
func TestConfigurationsToldAtTheSameTime(t *testing.T) {
	g := NewWithT(t)
	const large = 100_000
	old, newer := versioned(2, large), versioned(3, 1)
	for range 10 {
		f := newTestFront()
		f.configure(versioned(1, 1), "store", 0)
		var both sync.WaitGroup
		both.Go(func() { f.configure(old, "entry 10.1.0.2", 0) })
		both.Go(func() { f.configure(newer, "store", 0) })
		both.Wait()
		g.Expect(f.catalog.Load().Version()).To(Equal(int64(3)))
	}
}

// Failure: a request is routed by one version, and its service is looked up in the next.
func TestRequestsFollowOneConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := newTestFront()
	f.configure(versioned(1, 0), "store", 0)
	const versions = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := range int64(versions) {
			f.configure(versioned(version+2, 0), "store", 0)
		}
	}()
	for open := true; open; {
		select {
		case <-done:
			open = false
		default:
		}
		r := &request{front: f, in: httptest.NewRequest("POST", "http://fleet.example/", nil), ask: &fleetv1.Ask{}, uri: "/"}
		g.Expect(r.resolve()).To(BeTrue())
		g.Expect(r.service.GetConnections()).To(Equal(r.route.GetRank()))
	}
}
