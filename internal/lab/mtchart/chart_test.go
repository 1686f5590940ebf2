package mtchart_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/lab/mtchart"
)

func TestSave(t *testing.T) {
	g := NewWithT(t)
	chart := mtchart.New("worth", "second", "share")
	g.Expect(chart.Line("one", []float64{0, 1, 2}, []float64{0.1, 0.5, 0.2})).To(Succeed())
	g.Expect(chart.Line("two", []float64{0, 1}, []float64{0.3, 0.4})).To(Succeed())
	path := filepath.Join(t.TempDir(), "worth.svg")
	g.Expect(chart.Save(path)).To(Succeed())
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(ContainSubstring("<svg"))
	g.Expect(chart.Save(path + ".nothing")).NotTo(Succeed())
}
