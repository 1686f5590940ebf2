package mtcompile_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtcompile"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// file writes a base file with an account of the given weight for each number,
// in one of the styles that operators write.
func file(accounts []int, weight int, indent string) []byte {
	var b bytes.Buffer
	b.WriteString("# a fleet\ndatacentres: [imanta]\naccounts: # all of them\n")
	for _, n := range accounts {
		fmt.Fprintf(&b, "%s# number %d\n%s- name: account-%d\n%s  weight: %d\n\n%s  hashes:\n%s    - %q\n", indent, n, indent, n, indent, weight, indent, indent, fmt.Sprint(n))
	}
	b.WriteString("services:\n  - name: consent\n    kind: plain\nrules:\n- account: \"*\"\n  class: long\n")
	return b.Bytes()
}

// TestPiecesAreTheFile: whatever accounts come and go, the joined pieces are
// the file, and a Compiler that has read earlier versions gives what a decoder
// makes of the whole.
func TestPiecesAreTheFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		compiler := mtcompile.New()
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			accounts := rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 1, 200, rapid.ID).Draw(t, "accounts")
			slices.Sort(accounts)
			text := file(accounts, rapid.IntRange(1, 9).Draw(t, "weight"), rapid.SampledFrom([]string{"", "  "}).Draw(t, "indent"))
			pieces := mtpiece.Cut(text)
			var joined []byte
			for _, piece := range pieces {
				joined = append(joined, piece.Text()...)
			}
			g.Expect(joined).To(Equal(text))
			g.Expect(mtcompile.Whole(text, pieces, &mustardtidev1.Base{})).To(BeTrue())
			whole := &mustardtidev1.Base{}
			g.Expect(mtschema.New("base").Decode(text, whole)).To(Succeed())
			compiled, err := compiler.Compile(pieces, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(proto.Equal(compiled, whole)).To(BeTrue())
		}
	})
}

// BenchmarkChange is what a process pays for a change of one account among
// 12,000, against reading the whole file anew.
func BenchmarkChange(b *testing.B) {
	accounts := make([]int, 12000)
	for i := range accounts {
		accounts[i] = i
	}
	texts := [2][]byte{file(accounts, 1, "  ")}
	texts[1] = bytes.Replace(texts[0], []byte("account-6000\n    weight: 1"), []byte("account-6000\n    weight: 2"), 1)
	pieces := [2][]mtpiece.Piece{mtpiece.Cut(texts[0]), mtpiece.Cut(texts[1])}
	b.Run("pieces", func(b *testing.B) {
		b.ReportAllocs()
		compiler := mtcompile.New()
		for i := range b.N {
			if _, err := compiler.Compile(pieces[i%2], nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			if err := mtschema.New("base").Decode(texts[i%2], &mustardtidev1.Base{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
