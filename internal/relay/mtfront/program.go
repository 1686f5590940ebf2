package mtfront

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

const (
	// reportTimeout bounds the reading of a target's report: several round trips to another region.
	reportTimeout = 250 * time.Millisecond
	// maxReport bounds a report.
	maxReport = 1 << 20
)

// otherProgram reports whether the program at the other end of a connection is known or feared to
// be another than the chosen one. A target may start again under its id with other software
// before the store or its sidecar says so, and a connection ends with its program. Only services
// whose targets have run several builds of late are asked.
func (r *request) otherProgram(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link) bool {
	_, listed := choice.Incarnation()
	if listed == 0 || choice.Salt() == "" || !r.front.builds.Several(r.service.GetName(), r.span()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	r.front.trail.Metrics().Add("programs_verified_total", 1)
	if err := link.Send(http.MethodGet, mtspeech.PathReport, r.in.Host, http.Header{}, nil); err != nil {
		return true
	}
	response, err := link.Receive(http.MethodGet, func(*http.Response) bool { return true }) //nolint:bodyclose // the link ends with its body
	if err != nil {
		return true
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil || response.StatusCode != http.StatusOK || response.Close {
		return true
	}
	report, err := mtspeech.DecodeReport(body)
	return err != nil || report.GetBorn() != listed
}
