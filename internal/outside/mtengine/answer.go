package mtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// maxEvent bounds one event of a streamed answer.
const maxEvent = 1 << 20

// doneData is the payload that ends a streamed answer.
const doneData = "[DONE]"

// part is what the router reads of an event or of a whole answer.
type part struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt  uint64 `json:"prompt_tokens"`
		Output  uint64 `json:"completion_tokens"`
		Details struct {
			Cached uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (p *part) finished() bool {
	for _, c := range p.Choices {
		if c.FinishReason != nil {
			return true
		}
	}
	return false
}

func (p *part) count(into *mustardtidev1.Finish) {
	if p.Usage == nil {
		return
	}
	into.Prompt = p.Usage.Prompt
	into.Cached = p.Usage.Details.Cached
	into.Output = p.Usage.Output
}

// readStream emits each event as one piece. A stream that ends without a
// finish reason and [DONE] broke off: it is an error, never an end.
func readStream(body io.Reader, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	finish := &mustardtidev1.Finish{}
	finished := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneData {
			finish.Complete = finished
			return finish, brokenUnless(finished)
		}
		var p part
		if err := json.Unmarshal(data, &p); err != nil {
			return nil, trace.BadParameter("the engine sent a broken event: %v", err)
		}
		finished = finished || p.finished()
		p.count(finish)
		if err := emit(dataFrame(event(data))); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return nil, trace.ConnectionProblem(lines.Err(), "the engine's answer broke off")
}

func readWhole(body io.Reader, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the engine's answer broke off")
	}
	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, trace.ConnectionProblem(err, "the engine's answer is not whole")
	}
	finish := &mustardtidev1.Finish{Complete: true}
	p.count(finish)
	if err := emit(dataFrame(data)); err != nil {
		return nil, trace.Wrap(err)
	}
	return finish, nil
}

func event(data []byte) []byte {
	e := make([]byte, 0, len(data)+len("data: \n\n"))
	e = append(e, "data: "...)
	e = append(e, data...)
	return append(e, "\n\n"...)
}

func brokenUnless(finished bool) error {
	if finished {
		return nil
	}
	return trace.ConnectionProblem(nil, "the engine ended without a finish reason")
}
