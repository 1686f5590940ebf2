package mtreplay_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/request/mtreplay"
)

// textOf joins the text deltas of a stream.
func textOf(stream string) string {
	var text strings.Builder
	for _, one := range strings.Split(stream, "\n\n") {
		data, ok := strings.CutPrefix(one, "data: ")
		if !ok {
			continue
		}
		var e struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &e) == nil && len(e.Choices) == 1 {
			text.WriteString(e.Choices[0].Text + e.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// events cuts a text into the events of a chat answer.
func events(id, text string, cuts []int) []string {
	list := []string{fmt.Sprintf(`data: {"id":%q,"choices":[{"index":0,"delta":{"role":"assistant"},"finish_reason":null}]}`, id)}
	for _, cut := range append(cuts, len(text)) {
		n := min(cut, len(text))
		list = append(list, fmt.Sprintf(`data: {"id":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, text[:n]))
		text = text[n:]
	}
	return append(list, fmt.Sprintf(`data: {"id":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, id))
}

// A caller has the first words of an answer when its target dies. A second
// target gives the same text, cut into other events. The caller must see the
// text once, whole, under one id, with one role and one finish.
func TestReplayContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		text := rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "text")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 9), 0, 6)
		first := events("first", text, cuts.Draw(t, "cuts"))
		second := events("second", text, cuts.Draw(t, "again"))
		died := rapid.IntRange(1, len(first)).Draw(t, "died")
		r := mtreplay.New()
		var got strings.Builder
		deliver := func(list []string) {
			for _, one := range list {
				passed, err := r.Pass([]byte(one + "\n\n"))
				g.Expect(err).NotTo(HaveOccurred())
				got.Write(passed)
			}
		}
		deliver(first[:died])
		g.Expect(r.Rewind()).To(Succeed())
		deliver(second)
		g.Expect(textOf(got.String())).To(Equal(text))
		g.Expect(got.String()).NotTo(ContainSubstring("second"))
		g.Expect(strings.Count(got.String(), "stop")).To(Equal(1))
		g.Expect(strings.Count(got.String(), "role")).To(Equal(1))
	})
}

// An engine that samples at random gives another text the second time. Its
// words must not be put behind those that the caller has.
func TestReplayRefusesAnotherText(t *testing.T) {
	for name, again := range map[string]string{"other": "the lisp", "shorter": "the", "longer": "the list is"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := mtreplay.New()
			for _, one := range events("a", "the list", nil) {
				_, err := r.Pass([]byte(one + "\n\n"))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(r.Rewind()).To(Succeed())
			var failed error
			for _, one := range events("b", again, nil) {
				if _, err := r.Pass([]byte(one + "\n\n")); err != nil {
					failed = err
				}
			}
			g.Expect(failed).To(HaveOccurred())
		})
	}
}
