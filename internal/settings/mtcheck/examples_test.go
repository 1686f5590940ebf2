package mtcheck_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtcheck"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// TestExamples holds examples/ to the sizes of the brief: three data centres
// each, eight client accounts, a model service with its limit of engines that
// load weights at once, and a plain service that may not be repeated.
func TestExamples(t *testing.T) {
	for _, want := range []struct {
		fleet       string
		datacentres []string
		model       string
		plain       string
		loads       uint32
	}{
		{"riga", []string{"imanta", "purvciems", "kengarags"}, "trip", "consent", 3},
		{"dakar", []string{"plateau", "almadies", "rufisque"}, "valuation", "counter", 2},
	} {
		t.Run(want.fleet, func(t *testing.T) {
			g := NewWithT(t)
			dir := filepath.Join("../../../examples", want.fleet)
			text, err := os.ReadFile(filepath.Join(dir, "base.yaml"))
			g.Expect(err).NotTo(HaveOccurred())
			checker := mtcheck.New()
			checker.Base("base.yaml", text)
			for _, name := range want.datacentres {
				overlay, err := os.ReadFile(filepath.Join(dir, name+".yaml"))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(checker.Overlay(name+".yaml", overlay)).To(Equal(name))
			}
			g.Expect(checker.Check()).To(Succeed())

			base := &mustardtidev1.Base{}
			g.Expect(mtschema.New("base.yaml").Decode(text, base)).To(Succeed())
			g.Expect(base.GetDatacentres()).To(Equal(want.datacentres))
			g.Expect(base.GetAccounts()).To(HaveLen(8))
			g.Expect(base.GetServices()).To(HaveLen(2))
			model, plain := base.GetServices()[0], base.GetServices()[1]
			g.Expect(model.GetName()).To(Equal(want.model))
			g.Expect(model.GetLoads()).To(Equal(want.loads))
			g.Expect(plain.GetName()).To(Equal(want.plain))
			g.Expect(plain.GetKind()).To(Equal("plain"))
			g.Expect(plain.GetOnce()).To(BeTrue())
		})
	}
}
