package mtexperiment_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/lab/mtexperiment"
)

// Each file of testdata holds an experiment, a line of three dashes, and its plays or
// what is wrong with it.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.experiment")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := NewWithT(t)
			text, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			input, want, _ := strings.Cut(string(text), "---\n")
			g.Expect(found(input)).To(Equal(want))
		})
	}
}

func found(text string) string {
	e, err := mtexperiment.Parse("x.yaml", []byte(text))
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, s := range e.Steps() {
		fmt.Fprintln(&b, s.Name(), s.DeploymentPath(), s.DayPath(), s.Variant().Commit(), s.Variant().Without())
	}
	return b.String()
}
