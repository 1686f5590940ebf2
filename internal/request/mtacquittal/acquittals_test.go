package mtacquittal_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtacquittal"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

// Guards against an answer whose time is wrong or which is never forgotten.
func TestTimeOfTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := mtacquittal.New()
		part := mtcomponent.Part("aa")
		_, known := a.At(part)
		g.Expect(known).To(BeFalse())
		time.Sleep(10 * time.Second)
		a.Record(part)
		at := time.Now()
		for _, later := range []time.Duration{0, time.Second, 30 * time.Minute} {
			time.Sleep(later)
			got, known := a.At(part)
			g.Expect(known).To(BeTrue())
			g.Expect(got).To(BeTemporally("~", at, 100*time.Millisecond))
		}
		time.Sleep(time.Hour)
		_, known = a.At(part)
		g.Expect(known).To(BeFalse())
	})
}

// Guards against components that are taken for others in the same slot.
func TestOthersAreNotAcquitted(t *testing.T) {
	g := NewWithT(t)
	a := mtacquittal.New()
	for i := range 20_000 {
		a.Record(mtcomponent.Part(fmt.Sprintf("a%x", i)))
	}
	for i := range 20_000 {
		_, known := a.At(mtcomponent.Part(fmt.Sprintf("b%x", i)))
		g.Expect(known).To(BeFalse())
	}
}

func BenchmarkRecord(b *testing.B) {
	a := mtacquittal.New()
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d"}
	b.ReportAllocs()
	for b.Loop() {
		for _, id := range ids {
			a.Record(mtcomponent.Part(id))
		}
	}
}

// Failure: some parts of a prompt of hundreds replace others in the memory, so that these count as
// never answered, and a ban of them refuses all who share the prompt.
func TestAllPartsOfALongPromptAreRemembered(t *testing.T) {
	for round := range 20 {
		a := mtacquittal.New()
		prompt := make([]mtcomponent.Component, 300)
		for i := range prompt {
			prompt[i] = mtcomponent.Part(fmt.Sprintf("%x%04x", round+1, i))
			a.Record(prompt[i])
		}
		for _, part := range prompt {
			_, known := a.At(part)
			NewWithT(t).Expect(known).To(BeTrue())
		}
	}
}
