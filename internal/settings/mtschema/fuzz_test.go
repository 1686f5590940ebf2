package mtschema_test

import (
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtcheck"
	"github.com/mustardtide/mustardtide/internal/settings/mtcompile"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// FuzzDecode: no text, however odd, brings the parser or the checker down, is
// read in two ways, or is cut into other text than it is.
func FuzzDecode(f *testing.F) {
	examples, err := filepath.Glob("../../../examples/*/*.yaml")
	if err != nil || len(examples) == 0 {
		f.Fatal("no examples", err)
	}
	for _, path := range examples {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	for _, text := range []string{
		"", "a", "[]", "{}", "---\n---\n", "accounts: &a [*a]", "accounts:\n- name: !!binary aGk=\n", "accounts:\n  - <<: *a\n",
		"datacentres:\n- a\n- b\naccounts:\n- name: |\n    - x\n- name: \"a\n- b\"\n", "rules:\n  - {account: a}\n  - ? b\n",
		"services: [{name: x, deadline: 1e400s, retry: .nan, body: 0x10, slots: -0}]", "accounts:\n -\n  name: x\n -\n  name: y\n",
		"\ufeffdatacentres: [a]\n", "datacentres: [a]\r\naccounts:\r\n- name: x\r\n", "\xff\xfe", "? {a: b}\n: c\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, second := &mustardtidev1.Base{}, &mustardtidev1.Base{}
		firstErr := mtschema.New("base").Decode(text, first)
		secondErr := mtschema.New("base").Decode(text, second)
		if !proto.Equal(first, second) || (firstErr == nil) != (secondErr == nil) {
			t.Fatal("read in two ways")
		}
		checker := mtcheck.New()
		checker.Base("base", text)
		checker.Overlay("overlay", text)
		_ = checker.Check()
		pieces := mtpiece.Cut(text)
		var joined []byte
		for _, piece := range pieces {
			joined = append(joined, piece.Text()...)
		}
		if string(joined) != string(text) {
			t.Fatal("the pieces are not the text")
		}
		if firstErr == nil && len(pieces) > 1 {
			// Whole may refuse the pieces, never panic; see mtmanifest.Next.
			_ = mtcompile.Whole(text, pieces, &mustardtidev1.Base{})
		}
	})
}
