package mtentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// Bounds of the choice: targets tried for one request, and when a caller that
// found no target may come back.
const (
	maxAttempts = 3
	comeBack    = 2 * time.Second
)

// answer finds a target for a task and passes its answer on.
func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, t *task) {
	out := &output{writer: w, control: http.NewResponseController(w), task: t}
	refusal := mtrefusal.New(mtcode.NoTarget, t.service.GetName()).After(comeBack)
	for i, member := range e.choose(t) {
		if i == maxAttempts {
			break
		}
		t.work.Attempt++
		e.note(mtkind.AttemptSent, t, member.GetName())
		refusal = e.attempt(ctx, member, t, out)
		if refusal == nil {
			e.note(mtkind.RequestAnswered, t, member.GetName())
			return
		}
		e.note(mtkind.AttemptRefused, t, refusal.Error())
		if out.started || refusal.Final() || refusal.Ran() != mustardtidev1.Ran_NO {
			break
		}
	}
	out.fail(refusal)
	e.note(mtkind.RequestBroken, t, refusal.Error())
}

// output writes one answer to its caller.
type output struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	task    *task
	started bool
}

// start writes the head.
func (o *output) start(head *mustardtidev1.Head, target string) {
	if o.started {
		return
	}
	o.started = true
	header := o.writer.Header()
	for _, h := range head.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(mtcaller.HeaderRun, o.task.work.GetRun())
	header.Set(mtcaller.HeaderTarget, target)
	header.Set(mtcaller.HeaderCode, strconv.Itoa(int(mtcode.OK)))
	o.writer.WriteHeader(int(head.GetStatus()))
}

func (o *output) write(data []byte) error {
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

// end closes a whole answer; only it writes the stream's [DONE].
func (o *output) end(status uint32) error {
	if o.task.stream && status == http.StatusOK {
		return o.write([]byte("data: [DONE]\n\n"))
	}
	return nil
}

// fail tells the caller that there is no answer, or that what came is not the
// whole: an error event in a stream, a broken connection otherwise, never a
// clean end.
func (o *output) fail(refusal *mtrefusal.Refusal) {
	run := o.task.work.GetRun()
	if !o.started {
		mtcaller.Refuse(o.writer, run, refusal)
		return
	}
	if o.task.stream && mtcaller.Break(o.writer, run, refusal) == nil {
		_ = o.control.Flush()
	}
	panic(http.ErrAbortHandler)
}
