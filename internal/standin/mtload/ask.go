package mtload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// outcome is what one caller got.
type outcome struct {
	code   int
	whole  bool
	first  time.Duration
	gap    time.Duration
	total  time.Duration
	prompt int
	cached int
}

// ask sends one streamed request and reads its answer.
func (l *Load) ask(ctx context.Context, key, prompt string) outcome {
	body, err := json.Marshal(map[string]any{
		"model": l.model, "prompt": prompt, "stream": true, "max_tokens": l.tokens,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		return outcome{}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	response, err := l.http.Do(request)
	if err != nil {
		return outcome{}
	}
	defer response.Body.Close()
	o := outcome{}
	// A missing code is 0, which counts as no answer.
	o.code, _ = strconv.Atoi(response.Header.Get(mtcaller.HeaderCode))
	if response.StatusCode == http.StatusOK {
		o.read(bufio.NewScanner(response.Body), start)
	}
	return o
}

// read times the events of a stream; only [DONE] makes it whole.
func (o *outcome) read(lines *bufio.Scanner, start time.Time) {
	last := start
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if o.first == 0 {
			o.first = now.Sub(start)
		} else {
			o.gap = max(o.gap, now.Sub(last))
		}
		last = now
		if data == "[DONE]" {
			o.whole = true
		}
		o.usage(data)
	}
	o.total = time.Since(start)
}

func (o *outcome) usage(data string) {
	var event struct {
		Usage *struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &event) == nil && event.Usage != nil {
		o.prompt = event.Usage.Prompt
		o.cached = event.Usage.Details.Cached
	}
}
