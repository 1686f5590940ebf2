package mtclosing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtclosing"
)

var now = time.Unix(1000, 0)

func after(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }

// An entry waits for its long streams: it takes what is over before its own
// end, however that comes about, and nothing that the end could cut.
func TestTakesWhatEndsInTime(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.Until(after(5))
	g.Expect(closing.Takes(after(1.5))).To(BeTrue())
	g.Expect(closing.Takes(after(4.6))).To(BeTrue())
	g.Expect(closing.Takes(after(4.8))).To(BeFalse())
	g.Expect(closing.Takes(after(15))).To(BeFalse())
	g.Expect(closing.Left(after(2))).To(Equal(3 * time.Second))
}

// Where all entries stop, most callers of a model ask for short answers: these
// are taken, however long their callers would wait, and long ones are not.
func TestTakesShortAnswers(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.Until(after(5))
	g.Expect(closing.TakesAnswer(now, after(15), 80)).To(BeTrue())
	g.Expect(closing.TakesAnswer(now, after(15), 900)).To(BeFalse())
	g.Expect(closing.TakesAnswer(after(2.5), after(15), 80)).To(BeFalse())
	g.Expect(closing.TakesAnswer(now, after(15), 0)).To(BeFalse(), "a caller that names no bound")
	g.Expect(closing.TakesAnswer(now, after(3), 900)).To(BeTrue())
}

// A refused caller is sent to another entry at once, and where all are
// stopping, told to come back when the first has been replaced.
func TestWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.Until(after(5))
	g.Expect(closing.Again(now, []time.Time{after(3), {}})).To(BeNumerically("<", 50*time.Millisecond))
	g.Expect(closing.Again(now, []time.Time{after(3), after(4)})).To(Equal(4300 * time.Millisecond))
	g.Expect(closing.Again(now, nil)).To(Equal(6300 * time.Millisecond))
	g.Expect(closing.Again(after(9), []time.Time{after(3)})).To(BeNumerically("<", 50*time.Millisecond))
}
