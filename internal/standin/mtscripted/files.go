// Package mtscripted runs tests that are written as data files.
package mtscripted

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Each runs one test for each file that a pattern names. A file holds an input, a line of
// three dashes, and what answer must return for the input.
func Each(t *testing.T, pattern string, answer func(input string) string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := gomega.NewWithT(t)
			text, err := os.ReadFile(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			input, want, _ := strings.Cut(string(text), "---\n")
			g.Expect(answer(input)).To(gomega.Equal(want))
		})
	}
}
