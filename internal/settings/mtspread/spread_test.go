package mtspread_test

import (
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/settings/mtspread"
	"github.com/mustardtide/mustardtide/internal/settings/mtword"
)

// Story: a manifest that was fetched before a newer one arrives after it, or
// comes from a peer that was cut off. Taken, it would turn accepted settings
// back in this process until the next submit.
func TestNeverLower(t *testing.T) {
	g := NewWithT(t)
	spread := mtspread.New("imanta", mtevent.New("entry-0", &mtstamp.Clock{}, nil))
	texts := map[string][]byte{"base": []byte("datacentres: [imanta]\n")}
	first := mtmanifest.Empty().Next("first", "operator", texts)
	second := first.Next("second", "operator", texts)
	g.Expect(spread.Adopt(second)).To(Succeed())
	g.Expect(spread.Adopt(first)).To(Succeed())
	g.Expect(spread.Snapshot().Revision()).To(BeEquivalentTo(2))

	spread.Hear(mtword.New(&mustardtidev1.Peer{Revision: 1, Source: "stale"}, ""))
	g.Expect(spread.Heard()).To(BeEmpty(), "nobody fetches from a peer that is behind")
	spread.Hear(mtword.New(&mustardtidev1.Peer{Revision: 3, Source: "ahead"}, "10.0.0.9:80"))
	word := <-spread.Heard()
	g.Expect(word.Address()).To(Equal("10.0.0.9:80"))
}
