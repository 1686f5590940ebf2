package mtengine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtengine"
)

// tripper answers every call with one body.
type tripper struct{ kind, body string }

func (t tripper) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {t.kind}},
		Body:       io.NopCloser(strings.NewReader(t.body)),
	}, nil
}

// FuzzAnswer gives the parser of engines' streams any bytes: an answer is
// complete only with a finish reason and the closing [DONE], and what is passed
// on is whole events.
func FuzzAnswer(f *testing.F) {
	const word = `data: {"id":"mt-R-1","choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	const stop = `data: {"id":"mt-R-1","choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	f.Add(word + stop + done)
	f.Add(word + done)
	f.Add(word + stop)
	f.Add(strings.ReplaceAll(word+stop+done, "\n", "\r\n"))
	f.Add(": comment\n\nevent: x\nid: 1\n" + word + "data:" + strings.TrimPrefix(stop, "data: ") + done)
	f.Add(word + `data: {"error":{"message":"out of memory"}}` + "\n\n" + done)
	f.Add(word + strings.ReplaceAll(stop, "mt-R", "mt-S") + done)
	f.Add("data: {\n\n" + done)
	f.Fuzz(func(t *testing.T, body string) {
		g := NewWithT(t)
		engine := mtengine.New("http://engine", tripper{"text/event-stream", body})
		var passed strings.Builder
		work := &mustardtidev1.Work{Run: "R", Attempt: 1}
		finish, err := engine.Run(context.Background(), work, &mustardtidev1.Call{Path: "/v1/completions", Body: []byte(`{"model":"m"}`)}, func(frame *mustardtidev1.Frame) error {
			passed.Write(frame.GetData())
			return nil
		})
		if passed.Len() > 0 {
			g.Expect(passed.String()).To(HavePrefix("data: "))
			g.Expect(passed.String()).To(HaveSuffix("\n\n"))
		}
		g.Expect(passed.String()).NotTo(ContainSubstring("data: [DONE]"))
		if err != nil {
			return
		}
		g.Expect(finish.GetComplete()).To(BeTrue())
		g.Expect(body).To(ContainSubstring("[DONE]"))
		g.Expect(body).To(ContainSubstring("finish_reason"))
	})
}

// An engine loses track of who asked what and sends another request's answer
// on this request's connection. It must not reach the caller.
func TestCrossedAnswer(t *testing.T) {
	const mine = `data: {"id":"cmpl-mt-R-1","choices":[{"text":"a","finish_reason":"stop"}]}` + "\n\n"
	const other = `data: {"id":"cmpl-mt-S-1","choices":[{"text":"b","finish_reason":"stop"}]}` + "\n\n"
	const own = `data: {"id":"own-1","choices":[{"text":"c","finish_reason":"stop"}]}` + "\n\n"
	const another = `data: {"id":"own-2","choices":[{"text":"c","finish_reason":"stop"}]}` + "\n\n"
	for name, c := range map[string]struct {
		body string
		good bool
	}{
		"mine":                   {mine, true},
		"another run's":          {other, false},
		"crossed half way":       {mine + other, false},
		"an engine's own id":     {own, true},
		"an engine's two ids":    {own + another, false},
		"own id after an echo":   {mine + own, false},
		"another run's, no echo": {own + other, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			engine := mtengine.New("http://engine", tripper{"text/event-stream", c.body + "data: [DONE]\n\n"})
			work := &mustardtidev1.Work{Run: "R", Attempt: 1}
			_, err := engine.Run(context.Background(), work, &mustardtidev1.Call{Path: "/v1/completions"}, func(*mustardtidev1.Frame) error { return nil })
			g.Expect(err == nil).To(Equal(c.good), "%v", err)
		})
	}
}
