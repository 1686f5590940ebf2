package mtcomponent_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

// Guards against a part that passes for another one as its id is spelled in another way.
func TestSpellingsOfOnePart(t *testing.T) {
	g := NewWithT(t)
	part := mtcomponent.Part("5c1e07a2")
	for _, id := range []string{"5C1E07A2", "005c1e07a2", " 5c1e07a2 ", "5c1E07a2\t"} {
		g.Expect(mtcomponent.Part(id)).To(Equal(part), id)
	}
	for _, id := range []string{"5c1e07a20", "5c1e07a", "", "0"} {
		g.Expect(mtcomponent.Part(id)).NotTo(Equal(part), id)
	}
	g.Expect(mtcomponent.Part("0")).To(Equal(mtcomponent.Part("00")))
}

// Guards against requests that are taken for one another as their fields are joined.
func TestWholeKeepsFieldsApart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mtcomponent.Whole([]byte("a"), []byte("bc"))).NotTo(Equal(mtcomponent.Whole([]byte("ab"), []byte("c"))))
	g.Expect(mtcomponent.Whole([]byte("a"))).To(Equal(mtcomponent.Whole([]byte("a"))))
	whole := mtcomponent.Whole([]byte("a"), []byte("body"))
	for _, pieces := range [][][]byte{{[]byte("body")}, {[]byte("bo"), []byte("d"), []byte("y")}} {
		g.Expect(mtcomponent.WholeInPieces(pieces, []byte("a"))).To(Equal(whole), "the pieces of a body don't matter")
	}
}

func ExampleComponent_IsWhole() {
	fmt.Println(mtcomponent.Part("5c1e07a2").IsWhole(), mtcomponent.Whole([]byte("body")).IsWhole())
	// Output: false true
}
