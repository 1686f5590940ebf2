package mtengine

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

const (
	requestIDHeader = "X-Request-Id"
	// requestIDMark tells this system's request ids from an engine's own.
	requestIDMark = "mt-"
)

// requestID names one attempt to its engine. Attempts differ: an engine may
// still run an earlier one.
func requestID(work *mustardtidev1.Work) string {
	return requestIDMark + work.GetRun() + "-" + strconv.FormatUint(uint64(work.GetAttempt()), 10)
}

// owner checks that an answer belongs to its request. Engines that take a
// request id put it into the id of their answers; once one has done so, an
// answer without it is another's. An engine that makes up its own ids is held
// to one id for an answer.
type owner struct {
	want   string
	echoes *atomic.Bool
	seen   string
	member []byte
}

// Members that tell an event of text only from others, as engines write them.
var (
	finishName = []byte(`"finish_reason"`)
	unfinished = []byte(`"finish_reason":null`)
	usageName  = []byte(`"usage"`)
	errorName  = []byte(`"error"`)
)

// plain says that an event holds text only, under the answer's id: most events
// do. Quotes within a text are escaped, so that a member's name in quotes is a
// member. Decoding each event took a tenth of the hop's time.
func (o *owner) plain(data []byte) bool {
	return o.member != nil && bytes.Contains(data, o.member) &&
		bytes.Contains(data, unfinished) && !bytes.Contains(data, usageName) && !bytes.Contains(data, errorName) &&
		bytes.Count(data, finishName) == 1 && json.Valid(data)
}

// check refuses an answer whose id is another request's.
func (o *owner) check(id string) error {
	if id == "" || id == o.seen {
		return nil
	}
	switch {
	case o.seen != "":
	case strings.HasSuffix(id, o.want), strings.Contains(id, o.want+"-"):
		o.echoes.Store(true)
		o.see(id)
		return nil
	case !o.echoes.Load() && !strings.Contains(id, requestIDMark):
		o.see(id)
		return nil
	}
	return mtrefusal.New(mtcode.BadTargetAnswer, "the engine's answer has the id "+id).WithRan(mustardtidev1.Ran_UNKNOWN)
}

func (o *owner) see(id string) {
	o.seen = id
	if quoted, err := json.Marshal(id); err == nil {
		o.member = append([]byte(`"id":`), quoted...)
	}
}
