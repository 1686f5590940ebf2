package mtengine

import (
	"encoding/json"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestTokenIDsReadAsTheLibraryReads holds the list read by hand to the one read
// by encoding/json, also where a list is broken.
func TestTokenIDsReadAsTheLibraryReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		text := rapid.OneOf(
			rapid.StringMatching(`\[( ?[0-9]{1,11} ?,){0,5}[0-9]{1,10}\]`),
			rapid.StringMatching(`\[[0-9,. -]{0,12}\]`),
			rapid.SampledFrom([]string{"null", "[]", "{}", "[1e3]", "[-1]", "[4294967295]", "[4294967296]", `["1"]`}),
		).Draw(t, "text")
		var ours struct{ IDs tokenIDs }
		var theirs struct{ IDs []uint32 }
		ourErr := json.Unmarshal([]byte(`{"ids":`+text+`}`), &ours)
		theirErr := json.Unmarshal([]byte(`{"ids":`+text+`}`), &theirs)
		g.Expect(ourErr == nil).To(Equal(theirErr == nil), "%s: %v, %v", text, ourErr, theirErr)
		if theirErr == nil {
			g.Expect(slices.Equal(ours.IDs, theirs.IDs)).To(BeTrue(), text)
		}
	})
}
