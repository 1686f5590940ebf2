package mtcaller

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Paths of the published completions API.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
)

// fields are the members of a completions request that the router reads. The
// body goes to the engine as it came, so that members unknown here work too.
type fields struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	Stream    bool            `json:"stream"`
	N         int             `json:"n"`
	MaxTokens int             `json:"max_tokens"`
	MaxOutput int             `json:"max_completion_tokens"`
	CacheSalt json.RawMessage `json:"cache_salt"`
}

func (f *fields) tokens() int { return max(f.MaxTokens, f.MaxOutput) }

// model reads a completions request.
func (r *Request) model() (*Request, error) {
	path := r.http.URL.Path
	if path != pathChat && path != pathCompletion {
		return nil, mtrefusal.New(mtcode.UnknownPath, path).AsFinal()
	}
	if r.http.Method != http.MethodPost {
		return nil, mtrefusal.New(mtcode.BadMethod, r.http.Method).AsFinal()
	}
	if err := json.Unmarshal(r.body, &r.fields); err != nil {
		return nil, badBody(err.Error())
	}
	r.rest = path
	r.name = r.fields.Model
	return r, r.check(path)
}

func (r *Request) check(path string) error {
	f := &r.fields
	if f.Model == "" {
		return badBody("model is missing")
	}
	// The salt keeps accounts' cache entries apart: it is the router's to set.
	if f.CacheSalt != nil {
		return badBody("cache_salt is set by the router")
	}
	if f.N > 1 {
		return badBody("n above 1 is not supported: send one request for each")
	}
	if f.tokens() < 0 {
		return badBody("max_tokens is negative")
	}
	if path == pathChat {
		if len(f.Messages) == 0 {
			return badBody("messages is missing")
		}
		prompt, err := render(f.Messages)
		r.prompt = prompt
		return err
	}
	return r.text()
}

// text reads the prompt of the older API, which may be a list there: one
// request is one prompt here, so that each has one answer and one outcome.
func (r *Request) text() error {
	raw := bytes.TrimSpace(r.fields.Prompt)
	switch {
	case len(raw) == 0:
		return badBody("prompt is missing")
	case raw[0] == '[':
		return badBody("prompt is a list: send one request for each text, and text instead of token ids")
	case raw[0] != '"':
		return badBody("prompt must be one text")
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return badBody(err.Error())
	}
	r.prompt = []byte(text)
	return nil
}

func badBody(reason string) error {
	return mtrefusal.New(mtcode.BadBody, reason).AsFinal()
}
