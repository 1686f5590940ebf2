package mtmerge_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

const base = `
datacentres: [imanta]
accounts:
  - name: schools
    weight: 4
    hashes: ["01", "02"]
services:
  - name: consent
    kind: plain
    once: true
    adapter: forms
    retry: 0.1
    deadline: 90s
rules:
  - service: consent
    class: long
`

// Story: an operator turns a service's "once" off in one data centre, sets its
// retry share to 0 and its adapter to nothing. In proto3 these are the values
// of a field that was left out, so that without presence the base file's stay
// in force there and nobody is told.
func TestGivenAsZeroIsNotLeftOut(t *testing.T) {
	g := NewWithT(t)
	common, over := &mustardtidev1.Base{}, &mustardtidev1.Overlay{}
	g.Expect(mtschema.New("base").Decode([]byte(base), common)).To(Succeed())
	before := proto.CloneOf(common)
	g.Expect(mtschema.New("imanta").Decode([]byte(`
datacentre: imanta
accounts:
  - name: schools
    hashes: ["03"]
  - name: clubs
    weight: 1
services:
  - name: consent
    once: false
    adapter: ""
    retry: 0
    deadline: 500ms
rules:
  - service: consent
    class: short
`), over)).To(Succeed())

	merged := mtmerge.Merge(common, over)
	service := merged.GetServices()[0]
	g.Expect(service.GetOnce()).To(BeFalse())
	g.Expect(service.GetRetry()).To(BeZero())
	g.Expect(service.GetAdapter()).To(BeEmpty())
	g.Expect(service.GetKind()).To(Equal("plain"), "left out in the overlay")
	g.Expect(service.GetDeadline().AsDuration().String()).To(Equal("500ms"), "replaced, not added up")
	g.Expect(merged.GetAccounts()[0].GetHashes()).To(Equal([]string{"03"}))
	g.Expect(merged.GetAccounts()[0].GetWeight()).To(BeEquivalentTo(4))
	g.Expect(merged.GetAccounts()[1].GetName()).To(Equal("clubs"))
	g.Expect(merged.GetRules()[0].GetClass()).To(Equal("short"), "the overlay's rule goes first")
	g.Expect(proto.Equal(common, before)).To(BeTrue(), "the base file's settings are shared and stay as they were")
}
