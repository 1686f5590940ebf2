package mtboard_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// Guards against a choice that does not explain why a request waited at one engine while
// others were available. It names the next best candidates, each with its estimate and the
// largest additional cost, and counts the targets that were not considered.
func TestChoiceExplainsRejectedCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := board(6)
		for target, change := range map[string]func(pending *int64, ordering, answers *bool){
			"e0": func(*int64, *bool, *bool) {},
			"e1": func(*int64, *bool, *bool) {},
			"e2": func(pending *int64, _, _ *bool) { *pending = 20_000 },
			"e3": func(pending *int64, _, _ *bool) { *pending = 30_000 },
			"e4": func(_ *int64, ordering, _ *bool) { *ordering = true },
			"e5": func(_ *int64, _, answers *bool) { *answers = false },
		} {
			s := state(target, 1)
			change(&s.Pending, &s.Ordering, &s.Answers)
			b.UpdateState(s)
		}
		choice := b.Choose(query(640, "a", "b"))
		g.Expect(choice.Target()).To(Equal("e0"))
		g.Expect(choice.RunnersUp()).To(MatchRegexp(
			`^e1 \d+ms \(other data centre \+80ms\), ` +
				`e2 \d+ms \(prompts waiting \+625ms\), e3 \d+ms \(prompts waiting \+937ms\)$`))
		g.Expect(choice.Unfit()).To(Equal("1 silent, 1 loading weights"))
		choice.End(mtboard.Abandoned{})

		exhausted := query(640, "a", "b")
		for _, target := range []string{"e0", "e1", "e2", "e3"} {
			exhausted.Exclude(target)
		}
		g.Expect(b.Choose(exhausted)).To(BeNil())
		g.Expect(b.UnfitSummary(exhausted)).To(Equal("6 known: 4 tried, 1 silent, 1 loading weights"))
	})
}
