package mtfront

import (
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// observeLimit takes in the limit that an answer names.
func (r *request) observeLimit(choice *mtboard.Choice, answer *fleetv1.Answer, sent time.Time) {
	target, born := choice.Answerer(answer)
	if !r.front.limits.Hear(target, born, answer, sent) {
		return
	}
	r.front.logLimit(target, append(r.fields(), zap.String("from", "its answer"))...)
}

// logLimit says which limit of a target holds from now on.
func (f *Front) logLimit(target string, fields ...zap.Field) {
	fields = append(fields, zap.String("target", target))
	rate, limited := f.limits.Rate(target)
	if !limited {
		f.trail.Say(mtkind.TargetUnlimited, fields...)
		return
	}
	f.trail.Warn(mtkind.TargetLimited, append(fields, zap.Float64("limit", rate))...)
}
