package mtfront

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/request/mtresume"
)

// defaultRetention is how long engines keep copies where the configuration does not say.
const defaultRetention = 5 * time.Second

// attempt sends the request to a target. If the run breaks off, it goes on at its copy, if it has
// one.
func (r *request) attempt(ctx context.Context, choice *mtboard.Choice) result {
	chosen := time.Now()
	last := r.send(ctx, choice)
	r.path.Failed(time.Since(chosen))
	r.leaveOut(choice, last)
	r.log(choice, last)
	if lost, ok := last.(broken); ok {
		return r.continueRun(ctx, choice, lost)
	}
	return last
}

// assignBackup chooses the engine that keeps a copy of the run that is about to be sent, if a copy
// is worth its price.
func (r *request) assignBackup(choice *mtboard.Choice) {
	r.dropBackup(false)
	if r.continued || !r.copyPays() {
		return
	}
	if r.backup = r.front.board.ChooseBackup(choice); r.backup == nil {
		r.front.trail.Metrics().Add("copies_without_engine_total", 1)
		return
	}
	r.front.trail.Metrics().Add("copies_asked_total", 1)
	r.resumedAt = r.ask.GetResume()
	if r.delivered != nil {
		r.resumedAt = r.delivered.Last()
	}
}

// copyPays reports whether a copy of the request's run is worth its price.
func (r *request) copyPays() bool {
	if !r.service.GetCopies() || !r.front.with.copies || r.route.GetRepeat() != fleetv1.Repeat_REPEAT_STREAM || r.in.Method == http.MethodHead {
		return false
	}
	speed := r.front.board.Speed(r.service.GetName())
	transfer, prefill := r.service.GetTransfer().AsDuration(), speed.GetRead().AsDuration()
	if !r.front.copies.Affordable(transfer, prefill) {
		return false
	}
	prompt := r.ask.GetPrompt()
	loss := time.Duration(prompt) * prefill
	if !r.repeatable() {
		loss += r.route.GetAim().AsDuration()
	}
	price := time.Duration(prompt+r.ask.GetOutput()) * transfer
	engines := r.front.board.Engines(r.service.GetName())
	return r.front.copies.Pays(r.service.GetName(), engines, speed.GetAnswer().AsDuration(), loss, price)
}

// checkBackup gives up the copy if the run began at another program or on other weights than the
// second engine was chosen for.
func (r *request) checkBackup(choice *mtboard.Choice, answer *fleetv1.Answer) {
	other := answer.GetTarget() != "" && answer.GetTarget() != choice.Target()
	reloaded := answer.GetVersion() > 0 && answer.GetVersion() != choice.Version()
	if other || reloaded || choice.Build() == "" {
		r.dropBackup(false)
	}
}

// dropBackup ends the accounting of the run's copy: at once if the run ended successfully, else
// when the engine discards the copy.
func (r *request) dropBackup(succeeded bool) {
	if r.backup == nil {
		return
	}
	release := r.backup.Release
	r.backup = nil
	if succeeded {
		release()
		return
	}
	retention := r.service.GetRetention().AsDuration()
	if retention <= 0 {
		retention = defaultRetention
	}
	time.AfterFunc(retention, release)
}

// trackDelivery records what the caller has of the stream if another engine may go on with it.
// Only whole events are forwarded then.
func (r *request) trackDelivery() {
	if r.route.GetResumable() || r.backup != nil {
		r.delivered = mtresume.New(r.ask.GetResume())
	}
}

// continueRun sends a run that broke off to the engine with its copy, once a request. It returns
// the result of that send, or that of the first if the run did not go on.
func (r *request) continueRun(ctx context.Context, first *mtboard.Choice, lost broken) result {
	if !r.mayContinue(ctx) {
		return lost
	}
	second := r.backup.Continue()
	if second == nil {
		r.logNotContinued(first, "the engine is no longer fit to go on with it")
		return lost
	}
	if !r.front.allowance(r.service.GetName()).TryRetry(r.front.entries()) {
		second.End(mtboard.Abandoned{})
		r.front.trail.Metrics().Add("retries_denied_total", 1)
		r.logNotContinued(first, "the fleet's bound of repeats is reached")
		return lost
	}
	r.continued, r.paid = true, true
	r.logContinued(first, second)
	last := r.send(ctx, second)
	r.log(second, last)
	switch l := last.(type) {
	case rejected:
		r.logNotContinued(first, l.why)
		return lost
	case broken:
		r.query.Exclude(second.Target())
	}
	return last
}

// mayContinue reports whether the run that broke off may go on at its copy. A run that brought no
// event may not: a request that crashes engines does so as its answer begins.
func (r *request) mayContinue(ctx context.Context) bool {
	return r.backup != nil && !r.continued && ctx.Err() == nil && r.in.Context().Err() == nil &&
		r.delivered != nil && r.delivered.Possible() && r.delivered.Last() != r.resumedAt
}

// backupTarget returns the id of the engine that keeps the run's copy, "" if there is none.
func (r *request) backupTarget() string {
	if r.backup == nil {
		return ""
	}
	return r.backup.Target()
}

func (r *request) logContinued(first, second *mtboard.Choice) {
	r.front.trail.Metrics().Add("runs_continued_total", 1)
	r.front.trail.Warn(mtkind.RunContinued, append(r.fields(), append(r.resumeFields(),
		zap.String("target", first.Target()), zap.String("backup", second.Target()), zap.String("build", second.Build()))...)...)
}

func (r *request) logNotContinued(first *mtboard.Choice, why string) {
	r.front.trail.Metrics().Add("continuations_refused_total", 1)
	r.front.trail.Warn(mtkind.RunNotContinued, append(r.fields(), append(r.resumeFields(),
		zap.String("target", first.Target()), zap.String("backup", r.backupTarget()), zap.String("why", why))...)...)
}
