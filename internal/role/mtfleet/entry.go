package mtfleet

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/admission/mtcapacity"
	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/relay/mtfront"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

// RunEntry runs an entry until SIGTERM, with mechanisms that operators ask for and, for development,
// without some others.
func RunEntry(with, without []string) error {
	d, err := open()
	if err != nil {
		return trace.Wrap(err)
	}
	socket, err := mtpulse.Open(mtports.EntryWords.At(d.site, d.site.GetAddress()))
	if err != nil {
		return trace.Wrap(err)
	}
	front := mtfront.New(d.site, d.network, socket, d.trail)
	if err := front.With(with...); err != nil {
		return trace.Wrap(err)
	}
	if err := front.Without(without...); err != nil {
		return trace.Wrap(err)
	}
	public, err := d.listen(d.site.GetPublic(), front, front.Callers())
	if err != nil {
		return trace.Wrap(err)
	}
	ready, err := d.listenSide(d.site.GetReady(), readiness(front))
	if err != nil {
		return trace.Wrap(err)
	}
	peer, err := d.listen(mtports.EntryCalls.At(d.site, d.site.GetAddress()), front.Peer(), mtconnection.New(mtconnection.NewLimits(mtcapacity.Of(d.site).Peers(), 0, 0)))
	if err != nil {
		return trace.Wrap(err)
	}
	metrics, err := d.metrics()
	if err != nil {
		return trace.Wrap(err)
	}
	return d.serve([]*mtserver.Server{public, ready, peer, metrics}, front.Run, func(ctx context.Context) {
		// An error says that requests outlast the grace time; the servers' end cuts
		// them.
		_ = front.Drain(ctx, public)
	}, front.Resize)
}

func readiness(front *mtfront.Front) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if in.URL.Path != mtspeech.PathReady {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		front.ServeReady(w, in)
	})
}
