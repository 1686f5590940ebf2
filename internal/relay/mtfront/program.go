package mtfront

import (
	"context"

	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
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
	r.front.trail.Metrics().Add("programs_verified_total", 1)
	report, err := mtprobe.ReportOver(ctx, link, r.in.Host)
	return err != nil || report.GetBorn() != listed
}
