package mtfront

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/mustardtide/mustardtide/internal/admission/mtshed"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

// shed refuses the request if the service is too loaded for it, and reports whether it did. What
// has run in part, here or at an earlier attempt of the caller, is not refused, nor anything while
// the engines' speed is a guess: an idle one would refuse. Nor is what was promised precedence.
func (r *request) shed(ctx context.Context, choice *mtboard.Choice) bool {
	if r.delivered != nil || r.origin != nil || r.tries > 0 || !choice.EstimateReliable() {
		return false
	}
	if !r.front.without.level && !r.admitted(choice) {
		if r.promises() && r.admittedByPromise(ctx, choice) && r.admittedAgain() {
			return false
		}
		r.front.trail.Metrics().Add(`level_refused_total{route="`+r.route.GetName()+`"}`, 1)
		r.overloaded(choice, "the service admits less background work now", mtshed.Reject(choice.Estimate(), r.route.GetAim().AsDuration()))
		return true
	}
	if r.front.without.shedding {
		return false
	}
	if verdict := r.judge(ctx, choice); verdict.Refused() {
		r.overloaded(choice, fmt.Sprintf("the best target would begin to answer after %v", choice.Estimate().Round(time.Millisecond)), verdict)
		return true
	}
	return false
}

// judge decides by the estimate of the best target, and by what the request was promised.
func (r *request) judge(ctx context.Context, choice *mtboard.Choice) mtshed.Decision {
	timeout := r.route.GetTimeout().AsDuration()
	if !r.promises() {
		return r.decide(choice, timeout)
	}
	verdict := r.decide(choice, 0)
	if !verdict.Refused() || r.admittedByPromise(ctx, choice) {
		return mtshed.Decision{}
	}
	if !r.promised.answered {
		// Where nobody says what was promised, a request with little time left counts as a retry.
		return r.decide(choice, timeout)
	}
	return verdict
}

// decide decides by the estimate alone. timeout is that of first attempts, 0 to judge all alike.
func (r *request) decide(choice *mtboard.Choice, timeout time.Duration) mtshed.Decision {
	aim, left := r.route.GetAim().AsDuration(), time.Until(r.until)
	if r.ranked() {
		return mtshed.DecideRanked(r.background(), choice.Estimate(), choice.QueueTime(), aim, left, timeout)
	}
	return mtshed.Decide(r.rank(), choice.Estimate(), choice.QueueTime(), aim, left, timeout)
}

// overloaded refuses the request, which would have gone to a target.
func (r *request) overloaded(choice *mtboard.Choice, why string, verdict mtshed.Decision) {
	choice.End(mtboard.Abandoned{})
	fields := []zap.Field{
		zap.String("target", choice.Target()), zap.Duration("wait", choice.QueueTime()), zap.Duration("aim", r.route.GetAim().AsDuration()),
		zap.String("next", choice.RunnersUp()), zap.String("unfit", choice.Unfit()),
	}
	if r.ranked() {
		fields = append(fields, zap.Int32("rank", r.urgency()))
	}
	again := verdict.RetryAfter()
	if r.promises() {
		var number uint64
		again, number = r.promise()
		fields = append(fields, zap.Uint64("promise", number))
	}
	r.reject("overloaded: "+why, again, fields...)
}

// admittedAgain reports whether the level admits the request as one that returns as promised.
func (r *request) admittedAgain() bool {
	admitted := true
	r.front.admissions.use(r.service.GetName(), func(a *admission) {
		admitted = a.level.AdmitPromised(r.class(), r.account.GetName())
	})
	return admitted
}

// admitted reports whether the level of the request's service admits it.
func (r *request) admitted(choice *mtboard.Choice) bool {
	if !r.ranked() {
		return true
	}
	class := r.class()
	free := func() float64 { return r.front.board.FreeShare(r.service.GetName()) }
	admitted := true
	r.front.admissions.use(r.service.GetName(), func(a *admission) {
		a.level.Observe(class, choice.QueueTime(), r.route.GetAim().AsDuration())
		admitted = a.level.Admit(class, r.account.GetName(), free)
	})
	return admitted
}
