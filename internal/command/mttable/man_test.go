package mttable

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	. "github.com/onsi/gomega"
)

const manDir = "../../../man"

// TestManPages holds man/ equal to the command table: a page for each command
// that names each flag, and no page for a command that is gone.
func TestManPages(t *testing.T) {
	g := NewWithT(t)
	app := kingpin.New("mustardtide", "")
	pages := map[string]bool{}
	for _, c := range table {
		clause := app.Command(c.name, c.help)
		c.bind(clause)
		page := "mustardtide-" + c.name + ".1.md"
		pages[page] = true
		text, err := os.ReadFile(filepath.Join(manDir, page))
		g.Expect(err).NotTo(HaveOccurred(), "each command has a page in man/")
		for _, flag := range clause.Model().Flags {
			g.Expect(string(text)).To(ContainSubstring("`--"+flag.Name), page)
		}
	}
	entries, err := os.ReadDir(manDir)
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range entries {
		known := pages[e.Name()] || !strings.HasPrefix(e.Name(), "mustardtide-")
		g.Expect(known).To(BeTrue(), "%s describes no command", e.Name())
	}
}
