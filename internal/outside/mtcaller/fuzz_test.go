package mtcaller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// FuzzRead gives the parser of callers' requests any path and body: it reads
// the request or refuses it for good with a numbered code, "not run".
func FuzzRead(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","prompt":"p"}`,
		`{"model":"m","prompt":["a","b"]}`,
		`{"model":"m","prompt":[1,2]}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image_url","image_url":{"url":"u"}}]}]}`,
		`{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[{"id":"1"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":7}]}`,
		`{"model":"m","prompt":"p","n":2}`,
		`{"model":"m","prompt":"p","cache\u005fsalt":"other"}`,
		`{"model":"m","prompt":"p","max_tokens":-1}`,
		`{"model":"m","prompt":"p"}{}`,
		"\xff{", `[]`, `null`, ``,
	} {
		f.Add("/v1/chat/completions", body)
		f.Add("/v1/completions", body)
		f.Add("/v1/services/consent/a%2Fb//c?d=e", body)
	}
	f.Fuzz(func(t *testing.T, path, body string) {
		g := NewWithT(t)
		request, err := http.NewRequest(http.MethodPost, "http://entry", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		request.URL.Path = path
		read, err := mtcaller.Read(httptest.NewRecorder(), request, 1<<16)
		if err == nil {
			g.Expect(string(read.Body())).To(Equal(body))
			return
		}
		refusal := mtrefusal.FromError(err)
		g.Expect(refusal).To(HaveOccurred())
		g.Expect(refusal.Code().Known()).To(BeTrue())
		g.Expect(refusal.Final()).To(BeTrue())
	})
}

// A chat whose content comes as text parts has the same prefix as one whose
// content is a text, so that both find the same cached blocks.
func TestPromptOfParts(t *testing.T) {
	g := NewWithT(t)
	prompt := func(content string) string {
		body := `{"model":"m","messages":[{"role":"user","content":` + content + `}]}`
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		read, err := mtcaller.Read(httptest.NewRecorder(), request, 1<<16)
		g.Expect(err).NotTo(HaveOccurred())
		return string(read.Prompt())
	}
	g.Expect(prompt(`[{"type":"text","text":"a\nb"}]`)).To(Equal(prompt(`"a\nb"`)))
	g.Expect(prompt(`[{"type":"text","text":"a"},{"type":"text","text":"b"}]`)).To(Equal(prompt(`"a\nb"`)))
	g.Expect(prompt(`[{"type":"image_url","image_url":{"url":"1"}}]`)).NotTo(Equal(prompt(`[{"type":"image_url","image_url":{"url":"2"}}]`)))
}
