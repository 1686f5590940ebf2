package mtentry

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// slowAfter is how long one piece of an answer, 32 KB at most, may take to
// reach its caller: a phone on the worst network reads 2 KB a second. Without
// it a caller that stops reading holds its target's slot until the deadline.
const slowAfter = 15 * time.Second

// output writes one answer to its caller. It holds nothing back: a caller that
// reads slowly slows the stream from the sidecar, whose buffer is bounded.
type output struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	task    *task
	started bool
}

func newOutput(w http.ResponseWriter, t *task) *output {
	return &output{writer: w, control: http.NewResponseController(w), task: t}
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
	if err := o.hurry(); err != nil {
		return err
	}
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

// hurry gives the caller slowAfter for what is written next.
func (o *output) hurry() error {
	return o.control.SetWriteDeadline(time.Now().Add(slowAfter))
}

// end closes a whole answer; only it writes the stream's [DONE].
func (o *output) end(status uint32) error {
	if o.task.stream && status == http.StatusOK {
		return o.write([]byte("data: [DONE]\n\n"))
	}
	return o.hurry()
}

// refusal says why the caller could not be written to.
func (o *output) refusal(err error) *mtrefusal.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return mtrefusal.New(mtcode.SlowReader, err.Error()).Having(mustardtidev1.Ran_YES)
	}
	return mtrefusal.New(mtcode.CallerGone, err.Error()).Having(mustardtidev1.Ran_YES)
}

// fail tells the caller that there is no answer, or that what came is not the
// whole: an error event in a stream, a broken connection otherwise, never a
// clean end.
func (o *output) fail(refusal *mtrefusal.Refusal) {
	run := o.task.work.GetRun()
	if !o.started {
		_ = o.hurry()
		mtcaller.Refuse(o.writer, run, refusal)
		return
	}
	if o.task.stream && refusal.Code() != mtcode.SlowReader {
		_ = o.hurry()
		if mtcaller.Break(o.writer, run, refusal) == nil {
			_ = o.control.Flush()
		}
	}
	panic(http.ErrAbortHandler)
}
