package mtengine

import (
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
		o.seen = id
		return nil
	case !o.echoes.Load() && !strings.Contains(id, requestIDMark):
		o.seen = id
		return nil
	}
	return mtrefusal.New(mtcode.BadTargetAnswer, "the engine's answer has the id "+id).Having(mustardtidev1.Ran_UNKNOWN)
}
