package mtengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// answer writes one request's output: the same prompt gives the same text.
type answer struct {
	engine *Engine
	ask    *request
	id     string
	prompt int
	cached int
}

// word is the i-th token of the answer.
func (a *answer) word(i int) string {
	return fmt.Sprintf("w%d ", (a.prompt*31+i*7)%1000)
}

func (a *answer) usage() map[string]any {
	tokens := a.ask.tokens()
	return map[string]any{
		"prompt_tokens":         a.prompt,
		"completion_tokens":     tokens,
		"total_tokens":          a.prompt + tokens,
		"prompt_tokens_details": map[string]int{"cached_tokens": a.cached},
	}
}

// choice gives the API's choice for streamed (delta) and whole answers.
func (a *answer) choice(text string, finish any, delta bool) map[string]any {
	c := map[string]any{"index": 0, "finish_reason": finish}
	switch {
	case len(a.ask.Messages) == 0:
		c["text"] = text
	case delta:
		c["delta"] = map[string]string{"content": text}
	default:
		c["message"] = map[string]string{"role": "assistant", "content": text}
	}
	return c
}

func (a *answer) body(choices []any) map[string]any {
	return map[string]any{"id": a.id, "object": "text_completion", "model": a.ask.Model, "choices": choices}
}

func (a *answer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range a.ask.tokens() {
		if sleep(r, a.engine.decode) != nil {
			return
		}
		if event(w, a.body([]any{a.choice(a.word(i), nil, true)})) != nil {
			return
		}
		_ = control.Flush()
	}
	_ = event(w, a.body([]any{a.choice("", "stop", true)}))
	if a.ask.StreamOptions.IncludeUsage {
		last := a.body([]any{})
		last["usage"] = a.usage()
		_ = event(w, last)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (a *answer) whole(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for i := range a.ask.tokens() {
		if sleep(r, a.engine.decode) != nil {
			return
		}
		text.WriteString(a.word(i))
	}
	body := a.body([]any{a.choice(text.String(), "stop", false)})
	body["usage"] = a.usage()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func event(w http.ResponseWriter, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", encoded)
	return err
}
