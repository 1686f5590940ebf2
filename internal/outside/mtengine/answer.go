package mtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

const (
	// maxEvent bounds one event of a streamed answer, maxWhole a whole one.
	maxEvent = 1 << 20
	maxWhole = 16 << 20
	// lineBuffer holds the events that are usual.
	lineBuffer = 4 << 10
	// pieceSize is the most that one piece of a whole answer holds.
	pieceSize = 32 << 10
	// drainTime is how long an engine may leave a finished stream open before
	// its connection is given up.
	drainTime = 100 * time.Millisecond
	// doneData is the payload that ends a streamed answer.
	doneData = "[DONE]"
)

var dataField = []byte("data:")

// part is what the router reads of an event or of a whole answer.
type part struct {
	ID      string          `json:"id"`
	Error   json.RawMessage `json:"error"`
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
func readStream(body io.ReadCloser, mine *owner, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	finish := &mustardtidev1.Finish{}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, lineBuffer), maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneData {
			drain(body)
			return finish, brokenUnless(finish.GetComplete())
		}
		if err := readEvent(data, mine, finish); err != nil {
			return nil, err
		}
		if err := emit(dataFrame(event(data))); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return nil, trace.ConnectionProblem(lines.Err(), "the engine's answer broke off")
}

// readEvent checks one event and counts it into the finish.
func readEvent(data []byte, mine *owner, finish *mustardtidev1.Finish) error {
	if mine.plain(data) {
		return nil
	}
	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return bad("a broken event: " + err.Error())
	}
	if len(p.Error) > 0 {
		return mtrefusal.New(mtcode.TargetRefused, string(p.Error[:min(len(p.Error), errorBody)])).WithRan(mustardtidev1.Ran_YES)
	}
	if err := mine.check(p.ID); err != nil {
		return err
	}
	finish.Complete = finish.GetComplete() || p.finished()
	p.count(finish)
	return nil
}

// drain reads what follows the last event, so that the connection can be used
// again. An engine that leaves it open is given a moment only.
func drain(body io.ReadCloser) {
	closer := time.AfterFunc(drainTime, func() { _ = body.Close() })
	defer closer.Stop()
	_, _ = io.CopyN(io.Discard, body, errorBody)
}

func readWhole(body io.Reader, mine *owner, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxWhole))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the engine's answer broke off")
	}
	finish := &mustardtidev1.Finish{}
	if err := readEvent(data, mine, finish); err != nil {
		return nil, err
	}
	finish.Complete = true
	for piece := range slices.Chunk(data, pieceSize) {
		if err := emit(dataFrame(piece)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return finish, nil
}

func bad(reason string) error {
	return mtrefusal.New(mtcode.BadTargetAnswer, reason).WithRan(mustardtidev1.Ran_YES)
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
