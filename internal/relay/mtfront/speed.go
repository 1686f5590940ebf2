package mtfront

import (
	"math"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// speedChange is the change, as a logarithm, from which on a learned time is
// logged: a quarter, which moves choices and refusals.
const speedChange = 0.22

// adopt takes over what another process has learned of a service's engines.
func (f *Front) adopt(speed *fleetv1.Speed, from string) {
	if f.board.Adopt(speed) {
		f.trail.Say(mtkind.SpeedAdopted, append(speedFields(speed), zap.String("from", from))...)
	}
}

// tellSpeeds logs what was learned where it has changed, and keeps the metrics; last
// is what was logged before.
func (f *Front) tellSpeeds(last map[string]*fleetv1.Speed) {
	for _, speed := range f.board.Speeds() {
		before := last[speed.GetService()]
		switch {
		case before == nil:
			f.speedGauges(speed.GetService())
		case !changed(before, speed):
			continue
		}
		last[speed.GetService()] = speed
		f.trail.Say(mtkind.SpeedLearned, speedFields(speed)...)
	}
}

// speedGauges serves what is learned of a service's engines among the metrics.
func (f *Front) speedGauges(service string) {
	label := `{service="` + service + `"}`
	gauge := func(name string, of func(*fleetv1.Speed) time.Duration) {
		f.trail.Metrics().Gauge(name+label, func() int64 {
			return of(f.board.Speed(service)).Nanoseconds()
		})
	}
	gauge("engine_start_ns", func(s *fleetv1.Speed) time.Duration { return s.GetStart().AsDuration() })
	gauge("engine_token_read_ns", func(s *fleetv1.Speed) time.Duration { return s.GetRead().AsDuration() })
	gauge("engine_token_fetch_ns", func(s *fleetv1.Speed) time.Duration { return s.GetFetch().AsDuration() })
	gauge("engine_answer_ns", func(s *fleetv1.Speed) time.Duration { return s.GetAnswer().AsDuration() })
}

// changed says that two speeds of a service differ by more than is usual.
func changed(a, b *fleetv1.Speed) bool {
	return differ(a.GetStart().AsDuration(), b.GetStart().AsDuration()) ||
		differ(a.GetRead().AsDuration(), b.GetRead().AsDuration()) ||
		differ(a.GetFetch().AsDuration(), b.GetFetch().AsDuration()) ||
		differ(a.GetRunning().AsDuration(), b.GetRunning().AsDuration())
}

func differ(a, b time.Duration) bool {
	return math.Abs(math.Log(float64(max(1, a))/float64(max(1, b)))) > speedChange
}

func speedFields(s *fleetv1.Speed) []zap.Field {
	return []zap.Field{
		zap.String("service", s.GetService()),
		zap.Duration("start", s.GetStart().AsDuration()), zap.Duration("read", s.GetRead().AsDuration()),
		zap.Duration("begin", s.GetBegin().AsDuration()), zap.Duration("fetch", s.GetFetch().AsDuration()),
		zap.Duration("answer", s.GetAnswer().AsDuration()), zap.Duration("running", s.GetRunning().AsDuration()),
	}
}
