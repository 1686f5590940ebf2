package mtfront

import (
	"time"

	"github.com/mustardtide/mustardtide/internal/admission/mtpace"
)

// pace is how slowly a service's engines answer.
func (f *Front) pace(service string) *mtpace.Pace {
	found, _ := f.paces.LoadOrStore(service, &mtpace.Pace{})
	return found.(*mtpace.Pace)
}

// stretch is the part of a stream since its pace was last measured.
type stretch struct {
	pace   *mtpace.Pace
	since  time.Time
	events int
}

// newStretch begins to measure a stream; nil if no model engine answers it.
func (r *request) newStretch() *stretch {
	if r.service.GetModel() == "" {
		return nil
	}
	return &stretch{pace: r.front.pace(r.service.GetName())}
}

// take records how many events have come of a stream whose request was sent at a time. An event may
// have several tokens: engines then seem slower than they are, never faster.
func (s *stretch) take(events int, sentAt time.Time) {
	if s == nil || events == s.events {
		return
	}
	now := time.Now()
	if s.since.IsZero() {
		s.pace.Started(now.Sub(sentAt))
	} else if !s.pace.Streamed(now.Sub(s.since), events-s.events) {
		return
	}
	s.since, s.events = now, events
}
