package mtdeparture_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mtdeparture"
)

// Failure: a late or repeated report of the departing program's own start clears its departure.
func TestOnlyALaterStartClearsADeparture(t *testing.T) {
	g := NewWithT(t)
	d := mtdeparture.New()
	g.Expect(d.Add("a", 100)).To(BeTrue())
	g.Expect(d.Add("a", 100)).To(BeFalse())
	for _, born := range []int64{0, 100, 90} {
		d.SetStartTime("a", born)
		g.Expect(d.Has("a")).To(BeTrue())
	}
	d.SetStartTime("a", 101)
	g.Expect(d.Has("a")).To(BeFalse())
	g.Expect(d.Add("a", 101)).To(BeTrue())
}

// Failure: a target whose start was unknown when it announced its departure is used again once its
// start is reported.
func TestFirstReportedStartIsTheDepartingProgram(t *testing.T) {
	g := NewWithT(t)
	d := mtdeparture.New()
	d.Add("a", 0)
	d.SetStartTime("a", 100)
	g.Expect(d.Has("a")).To(BeTrue())
	d.SetStartTime("a", 200)
	g.Expect(d.Has("a")).To(BeFalse())
}

// Failure: targets that departed long ago fill the memory of a process that runs for weeks.
func TestOldestDepartureIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := mtdeparture.New()
		for i := range 5000 {
			d.Add(fmt.Sprint(i), 1)
			time.Sleep(time.Millisecond)
		}
		g.Expect(d.Has("0")).To(BeFalse())
		g.Expect(d.Has("903")).To(BeFalse())
		g.Expect(d.Has("904")).To(BeTrue())
		g.Expect(d.Has("4999")).To(BeTrue())
	})
}
