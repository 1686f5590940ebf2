package mtquarantine_test

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtquarantine"
)

func digest(n int) []byte {
	d := make([]byte, 16)
	binary.BigEndian.PutUint64(d, uint64(n))
	return d
}

// A whole batch is running when its target dies, and one of the batch kills the
// next target too. Only that one may be refused, the others must be acquitted,
// and hours of crashes must not fill the memory. Cause: one of them; which one,
// the first crash can't tell.
func TestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtquarantine.New()
		g.Expect(table.Banned(nil)).To(BeFalse())
		for n := range 16 {
			g.Expect(table.Crash(digest(n), "trip-0/1")).To(BeFalse())
			g.Expect(table.Crash(digest(n), "trip-0/1")).To(BeFalse(), "the same crash told twice")
			g.Expect(table.Suspect(digest(n))).To(BeTrue())
		}
		g.Expect(table.Crash(digest(7), "trip-1/1")).To(BeTrue())
		for n := range 16 {
			table.Clear(digest(n))
			g.Expect(table.Banned(digest(n))).To(Equal(n == 7))
			g.Expect(table.Suspect(digest(n))).To(BeFalse())
		}
		g.Expect(table.Bans()).To(Equal([][]byte{digest(7)}))
		other := mtquarantine.New()
		other.Learn(table.Bans())
		g.Expect(other.Banned(digest(7))).To(BeTrue())

		time.Sleep(2 * time.Minute)
		g.Expect(table.Bans()).To(BeEmpty(), "told for a minute")
		g.Expect(table.Banned(digest(7))).To(BeTrue())
		table.Crash(digest(20), "trip-2/1")
		time.Sleep(11 * time.Minute)
		g.Expect(table.Suspect(digest(20))).To(BeFalse(), "a suspicion lapses")
		time.Sleep(time.Hour)
		g.Expect(table.Banned(digest(7))).To(BeFalse(), "a quarantine lapses")

		for n := range 10000 {
			table.Crash(digest(n), "trip-3/1")
		}
		held := 0
		for n := range 10000 {
			if table.Suspect(digest(n)) {
				held++
			}
		}
		g.Expect(held).To(Equal(4096))
	})
}

// Guards against a flood of suspects that lifts a quarantine.
func TestFloodLiftsNoQuarantine(t *testing.T) {
	g := NewWithT(t)
	table := mtquarantine.New()
	table.Ban(digest(0))
	for n := range 10000 {
		table.Crash(digest(n+1), "trip-0/1")
	}
	g.Expect(table.Banned(digest(0))).To(BeTrue())
}
