package mtwindow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtwindow"
)

// Failure: the check counts entries that had not been told, or leaves out what comes at the
// edges of a span.
func TestWindowCountsWhatWasTold(t *testing.T) {
	g := NewWithT(t)
	w := mtwindow.New(1)
	begin := time.Now()
	at := begin.Add
	g.Expect(w.Allowed()).To(Equal(11))
	g.Expect(mtwindow.New(1.2).Allowed()).To(Equal(12))
	w.Told("a", at(0))
	w.Told("b", at(time.Second))
	for i := range 11 {
		w.Visit("a", at(500*time.Millisecond+time.Duration(i)*300*time.Millisecond))
		w.Visit("b", at(time.Duration(i)*100*time.Millisecond))
		w.Visit("c", at(2*time.Second))
	}
	g.Expect(w.Fault()).To(BeEmpty())
	g.Expect(w.Worst()).To(Equal(11))
	w.Visit("b", at(1600*time.Millisecond))
	g.Expect(w.Fault()).NotTo(BeEmpty())
	w.Excuse("b", at(time.Second), at(2*time.Second))
	g.Expect(w.Worst()).To(Equal(11))
	w.Visit("a", at(4500*time.Millisecond))
	g.Expect(w.Worst()).To(Equal(11))
	g.Expect(w.Count(at(time.Second), at(5*time.Second))).To(Equal(10))
}
