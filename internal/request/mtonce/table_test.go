package mtonce_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtonce"
)

// Story: a consent ran, and so many others came after it that its sidecar has
// forgotten it. A first resend is given up while it waits for the claim, a
// second one comes. The record in the claims is the first run's: taking it for
// the given-up resend's would run the consent twice.
func TestForgottenKeyIsNotRunAgain(t *testing.T) {
	g := NewWithT(t)
	table := mtonce.New()
	id := []byte("slip")
	g.Expect(table.Enter(t.Context(), id)).To(Succeed())
	_, first := table.Start(id, nil, "RUN/1", "RUN/1")
	g.Expect(first).To(BeTrue())
	table.Fail(id, &mustardtidev1.Finish{}, &mustardtidev1.Finish{})
	for i := range 30_000 {
		other := fmt.Appendf(nil, "other-%d", i)
		g.Expect(table.Enter(t.Context(), other)).To(Succeed())
		table.Yield(other, "OTHER/1")
	}
	_, _, begun := table.Begun(id, nil)
	g.Expect(begun).To(BeFalse(), "the table is bounded")

	g.Expect(table.Enter(t.Context(), id)).To(Succeed())
	table.Yield(id, "GIVENUP/1")
	g.Expect(table.Enter(t.Context(), id)).To(Succeed())
	_, again := table.Start(id, nil, "RESEND/1", "RUN/1")
	g.Expect(again).To(BeFalse())

	g.Expect(table.Enter(t.Context(), id)).To(Succeed())
	_, own := table.Start(id, nil, "RESEND/2", "GIVENUP/1")
	g.Expect(own).To(BeTrue(), "a given-up sending's record is for the next")
}
