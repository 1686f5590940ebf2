package mtkind_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

const page = "../../../docs/EVENTS.md"

// TestCatalogue holds docs/EVENTS.md equal to the code in both directions;
// UPDATE=1 writes the page.
func TestCatalogue(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Every log line has its event's number in the field `event`; `mustardtide timeline` shows the events of all processes in one order, and `/metrics` counts each kind as `mustardtide_events_total`.\n")
	b.WriteString("This page is written by `make docs` from `internal/observe/mtkind`.\n\n")
	b.WriteString("| event | name | what it means |\n| --- | --- | --- |\n")
	for _, k := range mtkind.All() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", uint32(k), k.Name(), k.Text())
	}
	if os.Getenv("UPDATE") != "" {
		g.Expect(os.WriteFile(page, []byte(b.String()), 0o600)).To(Succeed())
	}
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal(b.String()), "run `make docs`")
}
