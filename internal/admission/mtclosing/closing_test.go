package mtclosing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtclosing"
)

var now = time.Unix(1000, 0)

func after(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }

// An entry that waits for its long streams accepts requests with deadlines before its own end
// and none that its end could cut off.
func TestAcceptsRequestsThatEndInTime(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.EndingAt(after(5))
	g.Expect(closing.Accepts(after(1.5))).To(BeTrue())
	g.Expect(closing.Accepts(after(4.6))).To(BeTrue())
	g.Expect(closing.Accepts(after(4.8))).To(BeFalse())
	g.Expect(closing.Accepts(after(15))).To(BeFalse())
	g.Expect(closing.Remaining(after(2))).To(Equal(3 * time.Second))
}

// While all entries shut down, short answers are accepted however late the caller's deadline
// is, and long ones are not. Most callers of a model ask for short answers.
func TestAcceptsShortAnswers(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.EndingAt(after(5))
	g.Expect(closing.AcceptsAnswer(now, after(15), 80)).To(BeTrue())
	g.Expect(closing.AcceptsAnswer(now, after(15), 900)).To(BeFalse())
	g.Expect(closing.AcceptsAnswer(after(2.5), after(15), 80)).To(BeFalse())
	g.Expect(closing.AcceptsAnswer(now, after(15), 0)).To(BeFalse(), "a request without a token limit")
	g.Expect(closing.AcceptsAnswer(now, after(3), 900)).To(BeTrue())
}

// A refused caller is told to retry at once if another entry accepts requests, and otherwise
// when the first entry has been replaced.
func TestRetryDelay(t *testing.T) {
	g := NewWithT(t)
	closing := mtclosing.EndingAt(after(5))
	g.Expect(closing.RetryAfter(now, []time.Time{after(3), {}})).To(BeNumerically("<", 50*time.Millisecond))
	g.Expect(closing.RetryAfter(now, []time.Time{after(3), after(4)})).To(Equal(4300 * time.Millisecond))
	g.Expect(closing.RetryAfter(now, nil)).To(Equal(6300 * time.Millisecond))
	g.Expect(closing.RetryAfter(after(9), []time.Time{after(3)})).To(BeNumerically("<", 50*time.Millisecond))
}
