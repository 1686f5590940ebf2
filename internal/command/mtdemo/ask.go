package mtdemo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// step is one request of the demo.
type step struct {
	what    string
	account string
	path    string
	body    string
	key     string
}

// seen is what its caller got.
type seen struct {
	status int
	target string
	first  time.Duration
	prompt int
	cached int
	body   string
}

// share is the cached part of the prompt.
func (s *seen) share() string {
	if s.prompt == 0 {
		return "-"
	}
	return fmt.Sprintf("%d %%", 100*s.cached/s.prompt)
}

// ask sends one request and reads its answer.
func (d *Demo) ask(ctx context.Context, s step) (*seen, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.fleet.Entry("entry-0")+s.path, strings.NewReader(s.body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+s.account+"-key")
	request.Header.Set("Content-Type", "application/json")
	if s.key != "" {
		request.Header.Set(mtcaller.HeaderKey, s.key)
	}
	start := time.Now()
	response, err := d.http.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	got := &seen{status: response.StatusCode, target: response.Header.Get(mtcaller.HeaderTarget)}
	return got, got.read(response.Body, start)
}

// read takes in the body, the time of its first byte and the usage in it.
func (s *seen) read(body io.Reader, start time.Time) error {
	reader := bufio.NewReader(body)
	if _, err := reader.Peek(1); err != nil {
		return trace.Wrap(err)
	}
	s.first = time.Since(start)
	all, err := io.ReadAll(reader)
	if err != nil {
		return trace.Wrap(err)
	}
	s.body = string(all)
	for line := range strings.SplitSeq(s.body, "\n") {
		s.usage(strings.TrimPrefix(line, "data: "))
	}
	return nil
}

func (s *seen) usage(line string) {
	var event struct {
		Usage struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal([]byte(line), &event) != nil || event.Usage.Prompt == 0 {
		return
	}
	s.prompt = event.Usage.Prompt
	s.cached = event.Usage.Details.Cached
}
