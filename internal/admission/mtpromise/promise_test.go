package mtpromise_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtpromise"
)

const (
	taken   = fleetv1.ClaimState_CLAIM_STATE_TAKEN
	early   = fleetv1.ClaimState_CLAIM_STATE_EARLY
	spent   = fleetv1.ClaimState_CLAIM_STATE_SPENT
	unknown = fleetv1.ClaimState_CLAIM_STATE_UNKNOWN
)

func hash(id string) []byte {
	return mtpromise.Hash("school", "POST", "fleet.example", "/batch/", [][]byte{[]byte(id)})
}

// promise is one whose window is from 200 to 600 ms from now.
func promise(id string) *fleetv1.Promise {
	return &fleetv1.Promise{Hash: hash(id), Service: "pool", Account: "school", Opens: 200, Closes: 600}
}

func claim(t *mtpromise.Table, id string) fleetv1.ClaimState {
	return t.Claim(&fleetv1.Claim{Hash: hash(id), Service: "pool"}).GetState()
}

// Failure: a promise is claimed twice, or before its window or after it. The processes' clocks are
// hours apart, as they start at different times: only durations count.
func TestPromisesAreClaimedOnceInTheirWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtpromise.New()
		time.Sleep(3 * time.Hour)
		g.Expect(table.Add(promise("a"))).To(BeTrue())
		g.Expect(table.Add(promise("b"))).To(BeTrue())
		g.Expect(claim(table, "a")).To(Equal(early))
		time.Sleep(201 * time.Millisecond)
		g.Expect(claim(table, "a")).To(Equal(taken))
		g.Expect(claim(table, "a")).To(Equal(spent))
		time.Sleep(400 * time.Millisecond)
		g.Expect(claim(table, "a")).To(Equal(unknown))
		g.Expect(claim(table, "b")).To(Equal(unknown), "the window is over")
		time.Sleep(time.Second)
		g.Expect(table.Len()).To(BeZero())
	})
}

// Guards against promises that follow a wall clock, which jumps: tests can't move it alone.
func TestNoWallClockIsRead(t *testing.T) {
	g := NewWithT(t)
	for _, file := range []string{"promise.go", "../mtschedule/schedule.go"} {
		text, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for _, call := range []string{".Unix", ".Round(0)", ".UTC(", ".Local(", ".In(", "time.Date", "time.Parse", ".Truncate("} {
			g.Expect(string(text)).NotTo(ContainSubstring(call), file)
		}
	}
}

// Failure: a caller takes the promise of another account, or of another request.
func TestForeignClaimsHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtpromise.New()
		table.Add(promise("a"))
		time.Sleep(300 * time.Millisecond)
		for _, other := range [][]byte{
			mtpromise.Hash("town", "POST", "fleet.example", "/batch/", [][]byte{[]byte("a")}),
			mtpromise.Hash("school", "PUT", "fleet.example", "/batch/", [][]byte{[]byte("a")}),
			mtpromise.Hash("school", "POST", "other.example", "/batch/", [][]byte{[]byte("a")}),
			mtpromise.Hash("school", "POST", "fleet.example", "/batch/a", nil),
			mtpromise.Hash("schoolP", "OST", "fleet.example", "/batch/", [][]byte{[]byte("a")}),
			nil,
		} {
			g.Expect(table.Claim(&fleetv1.Claim{Hash: other, Service: "pool"}).GetState()).To(Equal(unknown))
		}
		g.Expect(table.Claim(&fleetv1.Claim{Hash: hash("a"), Service: "other"}).GetState()).To(Equal(unknown))
		g.Expect(claim(table, "a")).To(Equal(taken))
	})
}

// Failure: a caller that returns a thousand times before its window moves the window, or gets it
// more than once.
func TestEarlyReturnsGainNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtpromise.New()
		table.Add(promise("a"))
		for range 199 {
			time.Sleep(time.Millisecond)
			g.Expect(claim(table, "a")).To(Equal(early))
			table.Add(promise("a"))
		}
		g.Expect(table.Len()).To(Equal(1))
		time.Sleep(10 * time.Millisecond)
		admitted := 0
		for range 1000 {
			if claim(table, "a") == taken {
				admitted++
			}
			time.Sleep(100 * time.Microsecond)
		}
		g.Expect(admitted).To(Equal(1))
	})
}

// Failure: promises fill the memory, or keep new ones out after their windows. Malformed ones are
// kept, or for longer than any caller waits.
func TestPromisesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtpromise.New()
		refused := 0
		for i := range 15_000 {
			if !table.Add(promise(fmt.Sprint(i))) {
				refused++
			}
		}
		g.Expect(table.Len()).To(Equal(10_000))
		g.Expect(refused).To(Equal(5_000))
		time.Sleep(1100 * time.Millisecond)
		g.Expect(table.Add(promise("new"))).To(BeTrue())
		g.Expect(table.Len()).To(Equal(1))
		for _, odd := range []*fleetv1.Promise{
			{}, {Hash: []byte("short"), Closes: 600}, {Hash: hash("b"), Opens: 600, Closes: 200}, {Hash: hash("b"), Closes: 1 << 31},
		} {
			table.Add(odd)
		}
		g.Expect(table.Len()).To(Equal(1))
	})
}
