package mtpause_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/placement/mtpause"
)

// Guards against a longer pause that is cut short by a shorter one requested later, and
// against a pause that never ends.
func TestLaterEndApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := mtpause.New()
		g.Expect(p.Remaining("a")).To(BeZero())
		g.Expect(p.Add("a", 4*time.Second)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(p.Add("a", time.Second)).To(BeFalse())
		g.Expect(p.Remaining("a")).To(Equal(3 * time.Second))
		g.Expect(p.Remaining("b")).To(BeZero())
		time.Sleep(3 * time.Second)
		g.Expect(p.Remaining("a")).To(BeZero())
		g.Expect(p.Add("a", time.Second)).To(BeTrue())
	})
}
