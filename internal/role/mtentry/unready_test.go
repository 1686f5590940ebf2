package mtentry_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
)

// An entry starts where nobody has settings yet. Its caller sends a good key and
// must not be told that the key is unknown for good, but when to come back.
func TestEntryWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		c := newCaller(fleet)
		got := c.complete(fleet.Entry("entry-0"), "Is the list complete?", 4, true)
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		g.Expect(got.header.Get("Mustardtide-Code")).To(Equal("504"))
		g.Expect(got.header.Get("Mustardtide-Ran")).To(Equal("no"))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		c.close()
		g.Expect(fleet.Close()).To(Succeed())
	})
}
