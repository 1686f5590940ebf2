package mtban_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtban"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

// longest is the longest that the first ban of some components holds in any process.
const longest = 150 * time.Minute

func part(n int) mtcomponent.Component { return mtcomponent.Part(fmt.Sprintf("a%x", n)) }

func parts(numbers ...int) []mtcomponent.Component {
	var list []mtcomponent.Component
	for _, n := range numbers {
		list = append(list, part(n))
	}
	return list
}

func banned(b *mtban.Bans, numbers ...int) bool { return b.Match(parts(numbers...)) != nil }

// Guards against a ban of several parts that refuses requests with some of them.
func TestBanNeedsAllItsParts(t *testing.T) {
	g := NewWithT(t)
	b := mtban.New()
	g.Expect(b.Add(parts(1, 2), []string{"engine-1"})).To(BeTrue())
	g.Expect(banned(b, 1)).To(BeFalse())
	g.Expect(banned(b, 3, 2, 5, 1)).To(BeTrue())
	g.Expect(b.Match(parts(1, 2)).GetTargets()).To(Equal([]string{"engine-1"}))
	g.Expect(b.Add(parts(1, 2, 3), nil)).To(BeFalse(), "what is refused already")
	g.Expect(b.Add(parts(1), nil)).To(BeTrue())
	g.Expect(b.Len()).To(Equal(1), "the narrower ban is in it")
	g.Expect(banned(b, 1)).To(BeTrue())
}

// Guards against an answer that lifts the ban of another part, or one that is older than the
// crashes and lifts any.
func TestAcquittedPartLeavesTheBan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtban.New()
		before := time.Now()
		time.Sleep(10 * time.Second)
		b.Add(parts(1, 2), nil)
		g.Expect(b.Acquit(part(1), before)).To(BeEmpty())
		g.Expect(b.Acquit(part(3), time.Now())).To(BeEmpty())
		g.Expect(banned(b, 2)).To(BeFalse())
		g.Expect(b.Acquit(part(1), time.Now())).To(HaveLen(1))
		g.Expect(banned(b, 2)).To(BeTrue())
		g.Expect(b.Acquit(part(2), time.Now())).To(HaveLen(1))
		g.Expect(b.Len()).To(BeZero())
	})
}

// Failure: a ban that is passed from process to process begins anew with each, and never lapses.
func TestMergedBanKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := []*mtban.Bans{mtban.New(), mtban.New()}
		all[0].Add(parts(7), nil)
		for range 115 {
			time.Sleep(time.Minute)
			for i, to := range all {
				for _, ban := range all[1-i].Sample(4) {
					to.Merge(ban)
				}
			}
		}
		for _, b := range all {
			g.Expect(banned(b, 7)).To(BeTrue())
		}
		time.Sleep(longest - 115*time.Minute)
		for _, b := range all {
			g.Expect(banned(b, 7)).To(BeFalse())
		}
		time.Sleep(24 * time.Hour)
		for _, b := range all {
			b.Expire()
			g.Expect(b.Len()).To(BeZero())
		}
	})
}

// Guards against a part that crashes targets anew each time its ban lapses: there are three such
// trials on the first day, and one a day later on.
func TestBanIsRenewedForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtban.New()
		begun := time.Now()
		b.Add(parts(7), nil)
		trials := map[int]int{}
		for time.Since(begun) < 5*24*time.Hour {
			time.Sleep(time.Minute)
			if banned(b, 7) {
				continue
			}
			g.Expect(b.Convicted(part(7))).To(BeTrue())
			g.Expect(b.Convicted(part(8))).To(BeFalse())
			trials[int(time.Since(begun)/(24*time.Hour))]++
			g.Expect(b.Add(parts(7), nil)).To(BeTrue())
			b.Expire()
		}
		for day, count := range trials {
			g.Expect(count).To(BeNumerically("<=", 3), "day %d", day)
		}
		g.Expect(trials[4]).To(BeNumerically("<=", 1))
	})
}

// Failure: many bans fill each message.
func TestSampleIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := mtban.New()
	for n := range 20 {
		b.Add(parts(n), nil)
	}
	g.Expect(b.Sample(8)).To(HaveLen(8))
	g.Expect(b.All().GetBans()).To(HaveLen(20))
}

// Guards against a sample of large bans that does not fit in a datagram.
func TestSampleFitsInADatagram(t *testing.T) {
	g := NewWithT(t)
	b := mtban.New()
	for n := range 20 {
		var set []mtcomponent.Component
		for i := range 32 {
			set = append(set, parts(100*n+i)...)
		}
		g.Expect(b.Add(set, nil)).To(BeTrue())
	}
	components := 0
	for _, ban := range b.Sample(8) {
		components += len(ban.GetComponents())
	}
	g.Expect(components).To(Equal(128))
}

// Guards against a flood of banned requests that lifts the ban of a part or fills the memory.
func TestFloodLiftsNoBanOfAPart(t *testing.T) {
	g := NewWithT(t)
	b := mtban.New()
	b.Add(parts(7), nil)
	for n := range 2000 {
		b.Add([]mtcomponent.Component{mtcomponent.Whole([]byte(fmt.Sprint(n)))}, nil)
	}
	g.Expect(b.Len()).To(Equal(512))
	g.Expect(banned(b, 7)).To(BeTrue())
}

// Guards against a message without components, or with too many, that refuses all requests.
func TestOddBansAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	b := mtban.New()
	g.Expect(b.Merge(&fleetv1.Ban{})).To(BeFalse())
	g.Expect(b.Merge(&fleetv1.Ban{Components: make([]uint64, 33)})).To(BeFalse())
	g.Expect(b.Add(nil, nil)).To(BeFalse())
	g.Expect(banned(b)).To(BeFalse())
}

// Guards against a wrong ban of what most requests have, which no answer would ever lift, and
// against trials that crash targets again and again.
func TestBanOfMostRequestsIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := mtban.New()
		b.Add(parts(1), nil)
		b.Add(parts(2), nil)
		trials := map[int]int{}
		for i := range 1000 {
			for _, n := range []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 2} {
				g.Expect(banned(b, n)).To(BeTrue())
				if b.Try(parts(n)) {
					trials[n]++
					g.Expect(i).To(BeNumerically(">=", 5), "seconds")
				}
			}
			time.Sleep(time.Second)
		}
		g.Expect(trials).To(Equal(map[int]int{1: 2}))
		// A process that starts knows of the trials.
		started := mtban.New()
		started.Add(parts(1), nil)
		for _, ban := range b.All().GetBans() {
			started.Merge(ban)
		}
		for range 100 {
			time.Sleep(time.Second)
			g.Expect(banned(started, 1)).To(BeTrue())
			g.Expect(started.Try(parts(1))).To(BeFalse())
		}
		g.Expect(b.Try(parts(3))).To(BeTrue())
		whole := []mtcomponent.Component{mtcomponent.Whole([]byte("x"))}
		b.Add(whole, nil)
		for range 100 {
			time.Sleep(time.Second)
			g.Expect(b.Match(whole)).NotTo(BeNil())
			g.Expect(b.Try(whole)).To(BeFalse())
		}
	})
}
