package mtfleet

import (
	"context"

	"github.com/gravitational/trace"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtbeside"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

// RunSidecar runs a sidecar until SIGTERM. No answer passes through it, so that
// it stops at once.
func RunSidecar() error {
	d, err := open()
	if err != nil {
		return trace.Wrap(err)
	}
	socket, err := mtpulse.Open(mtports.SidecarWords.At(d.site, d.site.GetAddress()))
	if err != nil {
		return trace.Wrap(err)
	}
	sidecar := mtbeside.New(d.site, d.network, socket, d.trail)
	metrics, err := d.metrics()
	if err != nil {
		return trace.Wrap(err)
	}
	return d.serve([]*mtserver.Server{metrics}, sidecar.Run, func(context.Context) {}, func(*fleetv1.Site) {})
}
