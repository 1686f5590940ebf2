package mtcatalog_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtpartition"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
)

func catalog() *mtcatalog.Catalog {
	share := func(service string, weight int32) *fleetv1.Share {
		return &fleetv1.Share{Service: service, Weight: weight}
	}
	return mtcatalog.New(&fleetv1.Catalog{
		Version: 3,
		Routes: []*fleetv1.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Shares: []*fleetv1.Share{share("s", 1)}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: []*fleetv1.Share{share("s", 90), share("t", 10), share("u", 0)}},
		},
		Services: []*fleetv1.Service{
			{Name: "s"}, {Name: "far", Cache: "10.0.0.1:80", Datacentre: "south"}, {Name: "near", Cache: "10.0.0.2:80", Datacentre: "north"},
		},
		Accounts: []*fleetv1.Account{{Name: "school", Keys: []string{"k1", "k2"}}},
	})
}

func ExampleCatalog_Route() {
	c := catalog()
	fmt.Println(c.Route("A.example:8080", "/x/y/z").GetName())
	fmt.Println(c.Route("a.example", "/x/z").GetName())
	fmt.Println(c.Route("a.example", "/xy") == nil)
	fmt.Println(c.Route("b.example", "/x/") == nil)
	// Output:
	// long
	// short
	// true
	// true
}

func TestLookups(t *testing.T) {
	g := NewWithT(t)
	c := catalog()
	g.Expect(c.Account("k2").GetName()).To(Equal("school"))
	g.Expect(c.Account("k3")).To(BeNil())
	g.Expect(c.Keyed()).To(BeTrue())
	g.Expect(mtcatalog.New(&fleetv1.Catalog{}).Cache("part")).To(BeEmpty())
}

// Guards against a configuration whose zeros and empty lists are read as no rule: such requests were
// sent, and their prompts cached where other accounts find them.
func TestRoutesThatNothingServes(t *testing.T) {
	g := NewWithT(t)
	c := mtcatalog.New(&fleetv1.Catalog{Services: []*fleetv1.Service{
		{Name: "app"}, {Name: "pool", Model: "m", Slots: 8, Memory: 70_000}, {Name: "bare", Slots: 8}, {Name: "bare2", Memory: 70_000},
	}})
	for _, test := range []struct {
		attempts int32
		weights  map[string]int32
		why      string
	}{
		{1, map[string]int32{"app": 1}, ""},
		{1, map[string]int32{"pool": 1}, ""},
		{1, map[string]int32{"app": math.MaxInt32, "pool": math.MaxInt32}, ""},
		{0, map[string]int32{"app": 1}, "no attempt"},
		{-1, map[string]int32{"app": 1}, "no attempt"},
		{1, nil, "no service"},
		{1, map[string]int32{"app": 0}, "no service"},
		{1, map[string]int32{"app": -1}, "no service"},
		{1, map[string]int32{"app": 0, "pool": 0}, "no service"},
		{1, map[string]int32{"gone": 1}, "not in the configuration"},
		{1, map[string]int32{"bare": 1}, "no model"},
		{1, map[string]int32{"bare2": 1}, "no model"},
	} {
		route := &fleetv1.Route{Attempts: test.attempts}
		for service, weight := range test.weights {
			route.Shares = append(route.Shares, &fleetv1.Share{Service: service, Weight: weight})
		}
		service, why := c.Serve(route)
		g.Expect(why).To(ContainSubstring(test.why), "%+v", test)
		g.Expect(service == nil).To(Equal(test.why != ""), "%+v", test)
	}
}

// Guards against accounts that can't be read, or are gone while a request of theirs is under way, and
// share cached prompts though they may be isolated.
func TestPartitions(t *testing.T) {
	g := NewWithT(t)
	school, town := &fleetv1.Account{Name: "school", Isolated: true}, &fleetv1.Account{Name: "town"}
	c := mtcatalog.New(&fleetv1.Catalog{Accounts: []*fleetv1.Account{school, town, {}}})
	g.Expect(c.Partition(school)).To(Equal(mtpartition.Own("school")))
	g.Expect(c.Partition(town)).To(Equal(c.Partition(nil)))
	g.Expect(c.Partition(town)).NotTo(BeEmpty())
	g.Expect(c.Partition(&fleetv1.Account{Name: "gone"})).To(Equal(mtpartition.Own("gone")))
	unreadable := mtcatalog.New(&fleetv1.Catalog{Accounts: []*fleetv1.Account{town}, Unreadable: []string{"school"}})
	g.Expect(unreadable.Partition(town)).To(Equal(c.Partition(town)))
	open := mtcatalog.New(&fleetv1.Catalog{Accounts: []*fleetv1.Account{town}})
	g.Expect(open.Partition(town)).To(BeEmpty())
	g.Expect(open.Partition(nil)).To(BeEmpty())
}

// Guards against an empty list of accounts that is taken for none.
func TestWhoNeedsKeys(t *testing.T) {
	g := NewWithT(t)
	some := []*fleetv1.Account{{Name: "school"}}
	for _, c := range []struct {
		access           fleetv1.Access
		accounts         []*fleetv1.Account
		keyed, ambiguous bool
	}{
		{fleetv1.Access_ACCESS_OPEN, nil, false, false},
		{fleetv1.Access_ACCESS_OPEN, some, true, false},
		{fleetv1.Access_ACCESS_KEYED, nil, true, false},
		{fleetv1.Access_ACCESS_KEYED, some, true, false},
		{fleetv1.Access_ACCESS_UNKNOWN, nil, false, true},
		{fleetv1.Access_ACCESS_UNKNOWN, some, true, false},
	} {
		catalog := mtcatalog.New(&fleetv1.Catalog{Access: c.access, Accounts: c.accounts})
		g.Expect([]bool{catalog.Keyed(), catalog.Ambiguous()}).To(Equal([]bool{c.keyed, c.ambiguous}), "%+v", c)
	}
}

// Parts are spread over the stores of cached parts, and each belongs to one, whoever
// asks and in whichever order the operators list the stores.
func TestPartsBelongToOneStore(t *testing.T) {
	g := NewWithT(t)
	stores := []*fleetv1.Service{{Cache: "10.0.0.1:80"}, {Name: "pool"}, {Cache: "10.0.0.2:80"}, {Cache: "10.0.0.3:80"}}
	one := mtcatalog.New(&fleetv1.Catalog{Services: stores})
	turned := slices.Clone(stores)
	slices.Reverse(turned)
	other := mtcatalog.New(&fleetv1.Catalog{Services: turned})
	count := map[string]int{}
	for i := range 3000 {
		part := fmt.Sprint("part", i)
		g.Expect(one.Cache(part)).To(Equal(other.Cache(part)))
		count[one.Cache(part)]++
	}
	g.Expect(count).To(HaveLen(3))
	for address, parts := range count {
		g.Expect(parts).To(BeNumerically("~", 1000, 150), address)
	}
}

// A route's shares: nine in ten, one in ten, and none to a weight of zero.
func TestShares(t *testing.T) {
	g := NewWithT(t)
	route := catalog().Route("a.example", "/x/y/")
	count := map[string]int{}
	for range 4000 {
		count[mtcatalog.Pick(route)]++
	}
	g.Expect(count["t"]).To(BeNumerically("~", 400, 120))
	g.Expect(count).NotTo(HaveKey("u"))
	g.Expect(mtcatalog.Pick(&fleetv1.Route{})).To(BeEmpty())
}
