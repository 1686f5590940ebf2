package mtsplit_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/outside/mtsplit"
)

// Guards against a split that differs from encoding/json where that takes the whole text.
func TestSplitAgreesWithEncodingJSON(t *testing.T) {
	pieces := []string{"[", "]", "{", "}", ",", ":", `"a"`, `"b,]"`, `"c\""`, `"\\"`, "1", "-1e9", "null", "true", " ", "\n", `"`, `{"a":[1,{"b":"}"}]}`, `[[],{}]`}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(t, "pieces"), "")
		for _, text := range []string{text, "[" + text + "]", `{"x":` + text + `,"y":1}`} {
			var elements []json.RawMessage
			if json.Unmarshal([]byte(text), &elements) == nil {
				split, err := mtsplit.Value(text).Elements()
				if err != nil || len(split) != len(elements) {
					t.Fatalf("%q: %d elements and not %d: %v", text, len(split), len(elements), err)
				}
				for i := range split {
					if string(split[i]) != string(elements[i]) {
						t.Fatalf("%q: %q and not %q", text, split[i], elements[i])
					}
				}
			}
			var members map[string]json.RawMessage
			if json.Unmarshal([]byte(text), &members) == nil && members != nil {
				split, err := mtsplit.Value(text).Members()
				if err != nil || len(split) != len(members) {
					t.Fatalf("%q: %d members and not %d: %v", text, len(split), len(members), err)
				}
				for name := range split {
					if string(split[name]) != string(members[name]) {
						t.Fatalf("%q: %q is %q and not %q", text, name, split[name], members[name])
					}
				}
			}
		}
	})
}

// Failure: one value that is nested too deeply costs the others of its list.
func TestDeepValueIsSplitOff(t *testing.T) {
	g := NewWithT(t)
	deep := strings.Repeat(`{"a":[`, 1_000_000) + strings.Repeat("]}", 1_000_000)
	elements, err := mtsplit.Value("[1," + deep + ", 2]").Elements()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(elements).To(HaveLen(3))
	g.Expect(string(elements[2])).To(Equal("2"))
	members, err := mtsplit.Value(`{"a":` + deep + `,"b":"c"}`).Members()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(members["b"])).To(Equal(`"c"`))
}
