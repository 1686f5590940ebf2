package mtcaller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// problem is the error body, in the published API's form.
type problem struct {
	Error problemError `json:"error"`
}

type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    uint32 `json:"code"`
	Run     string `json:"run,omitempty"`
	Ran     string `json:"ran"`
	After   string `json:"after,omitempty"`
	Next    string `json:"next"`
}

// Refuse answers a request that has no answer yet.
func Refuse(w http.ResponseWriter, run string, refusal *mtrefusal.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderCode, strconv.FormatUint(uint64(refusal.Code()), 10))
	header.Set(HeaderRan, ranWord(refusal.Ran()))
	if run != "" {
		header.Set(HeaderRun, run)
	}
	if refusal.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds(refusal.RetryAfter())))
	}
	w.WriteHeader(refusal.Code().Status())
	_ = json.NewEncoder(w).Encode(body(run, refusal))
}

// Break ends a streamed answer that can't be completed: an error event, and no
// [DONE], so that no client takes what came for the whole.
func Break(w http.ResponseWriter, run string, refusal *mtrefusal.Refusal) error {
	encoded, err := json.Marshal(body(run, refusal))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: error\ndata: %s\n\n", encoded)
	return err
}

func body(run string, refusal *mtrefusal.Refusal) problem {
	p := problemError{
		Message: refusal.Error(),
		Type:    refusal.Code().Name(),
		Code:    uint32(refusal.Code()),
		Run:     run,
		Ran:     ranWord(refusal.Ran()),
		Next:    refusal.Code().Next(),
	}
	if refusal.RetryAfter() > 0 {
		p.After = refusal.RetryAfter().Round(time.Millisecond).String()
	}
	return problem{Error: p}
}

// seconds rounds up: a client that comes back a moment early is refused again.
func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func ranWord(ran mustardtidev1.Ran) string {
	switch ran {
	case mustardtidev1.Ran_NO:
		return "no"
	case mustardtidev1.Ran_YES:
		return "yes"
	default:
		return "unknown"
	}
}
