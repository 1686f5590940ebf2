package mtclosing_test

import (
	"math"
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
// is, and long ones are not, by the pace of the slowest engine of late. Most callers of a model ask
// for short answers.
func TestAcceptsShortAnswers(t *testing.T) {
	const start, token = 300 * time.Millisecond, 7 * time.Millisecond
	closing := mtclosing.EndingAt(after(5))
	stopping := []time.Time{after(3), after(6)}
	for name, c := range map[string]struct {
		now, deadline time.Time
		tokens        int64
		start, token  time.Duration
		others        []time.Time
		accepts       bool
	}{
		"short":                       {now, after(15), 80, start, token, stopping, true},
		"alone":                       {now, after(15), 80, start, token, nil, true},
		"another entry accepts":       {now, after(15), 80, start, token, []time.Time{after(3), {}}, false},
		"long":                        {now, after(15), 900, start, token, stopping, false},
		"as long as an integer holds": {now, after(15), math.MaxInt64, start, token, stopping, false},
		"late":                        {after(2.5), after(15), 80, start, token, stopping, false},
		"without a token limit":       {now, after(15), 0, start, token, stopping, false},
		"by its deadline":             {now, after(3), 900, start, token, []time.Time{{}}, true},
		"slow engines":                {now, after(15), 30, start, 120 * time.Millisecond, stopping, false},
		"beside long prompts":         {now, after(15), 80, start, 38 * time.Millisecond, stopping, false},
		"slow to start":               {now, after(15), 8, 2 * time.Second, token, stopping, false},
		"of unknown pace":             {now, after(15), 8, start, 0, stopping, false},
		"of unknown start":            {now, after(15), 8, 0, token, stopping, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(closing.AcceptsAnswer(c.now, c.deadline, c.tokens, c.start, c.token, c.others)).To(Equal(c.accepts))
		})
	}
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
