package mtcode_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

const page = "../../../docs/CODES.md"

// TestTable holds docs/CODES.md equal to the code in both directions;
// UPDATE=1 writes the page.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Callers find the number in the header `Mustardtide-Code` and in the error body's `code`; `mustardtide explain NUMBER` prints a row.\n")
	b.WriteString("This page is written by `make docs` from `internal/observe/mtcode`.\n\n")
	b.WriteString("| code | name | HTTP | what happened | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range mtcode.All() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", uint32(c), c.Name(), c.Status(), c.Text(), c.Next())
	}
	if os.Getenv("UPDATE") != "" {
		g.Expect(os.WriteFile(page, []byte(b.String()), 0o600)).To(Succeed())
	}
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(b.String()), "run `make docs`")
}
