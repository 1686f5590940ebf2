package mtentry

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
	"github.com/mustardtide/mustardtide/internal/request/mtreplay"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

// slowAfter is how long one piece of an answer, 32 KB at most, may take to
// reach its caller: a phone on the worst network reads 2 KB a second. Without
// it a caller that stops reading holds its target's slot until the deadline.
const slowAfter = 15 * time.Second

// wholeLimit bounds a model's whole answer that is held until its end, so that
// its run can be repeated if its target dies: the length of a hundred thousand
// tokens and more. A longer one is passed on as it comes.
const wholeLimit = 1 << 20

// output writes one answer to its caller. It holds no stream back: a caller
// that reads slowly slows the stream from the sidecar, whose buffer is bounded.
type output struct {
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	task    *task
	head    *mustardtidev1.Head
	target  string
	// started says that something of the answer has gone to the caller.
	started bool
	held    []byte
	replay  *mtreplay.Replay
}

func newOutput(w http.ResponseWriter, in *http.Request, t *task) *output {
	o := &output{writer: w, request: in, control: http.NewResponseController(w), task: t}
	if t.stream && repeatable(t) {
		o.replay = mtreplay.New()
	}
	return o
}

// start takes the head of a run; it is written with the first payload, so that
// a run which dies before can be repeated.
func (o *output) start(head *mustardtidev1.Head, target string) {
	if o.started {
		return
	}
	o.head = head
	o.target = target
	o.held = nil
}

// rewind prepares for the answer of another run.
func (o *output) rewind() error {
	if !o.started {
		return nil
	}
	if o.replay == nil || o.head.GetStatus() != http.StatusOK {
		return trace.NotImplemented("an answer of this kind can't be continued")
	}
	return o.replay.Rewind()
}

// write passes payload on, or holds it where the answer must come whole.
func (o *output) write(data []byte) error {
	if o.holds(len(data)) {
		o.held = append(o.held, data...)
		return nil
	}
	if o.replay != nil {
		passed, err := o.replay.Pass(data)
		if err != nil {
			return err
		}
		data = passed
	}
	return o.send(data)
}

func (o *output) holds(more int) bool {
	return !o.started && !o.task.stream && repeatable(o.task) && len(o.held)+more <= wholeLimit
}

func (o *output) send(data []byte) error {
	if len(o.held) > 0 {
		data = append(o.held, data...)
		o.held = nil
	}
	if len(data) == 0 {
		return nil
	}
	if err := o.hurry(); err != nil {
		return err
	}
	o.begin()
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

// begin writes the head.
func (o *output) begin() {
	if o.started {
		return
	}
	o.started = true
	header := o.writer.Header()
	for _, h := range o.head.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	code := mtcode.OK
	if !o.task.plain() && o.head.GetStatus() != http.StatusOK {
		code = mtcode.TargetRefused
	}
	header.Set(mtcaller.HeaderRun, o.task.work.GetRun())
	header.Set(mtcaller.HeaderTarget, o.target)
	header.Set(mtcaller.HeaderCode, strconv.Itoa(int(code)))
	o.writer.WriteHeader(int(o.head.GetStatus()))
}

// hurry gives the caller slowAfter for what is written next.
func (o *output) hurry() error {
	return o.control.SetWriteDeadline(time.Now().Add(slowAfter))
}

// end closes a whole answer; only it writes the stream's [DONE].
func (o *output) end(status uint32) error {
	if o.task.stream && status == http.StatusOK {
		return o.send([]byte("data: [DONE]\n\n"))
	}
	if o.holds(0) {
		o.writer.Header().Set("Content-Length", strconv.Itoa(len(o.held)))
	}
	if err := o.send(nil); err != nil {
		return err
	}
	o.begin()
	return o.hurry()
}

// refusal says why an answer could not be passed on.
func (o *output) refusal(err error) *mtrefusal.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return mtrefusal.New(mtcode.SlowReader, err.Error()).WithRan(mustardtidev1.Ran_YES)
	}
	if trace.IsCompareFailed(err) || trace.IsNotImplemented(err) || trace.IsBadParameter(err) {
		return mtrefusal.New(mtcode.Incomplete, trace.UserMessage(err)).WithRan(mustardtidev1.Ran_YES).AsFinal()
	}
	return mtrefusal.New(mtcode.CallerGone, err.Error()).WithRan(mustardtidev1.Ran_YES)
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
	mtserver.Abort(o.writer, o.request)
}
