package mtfront

import (
	"context"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

const (
	// permitTime is how long a request waits for a permit: the way to another data centre
	// and back.
	permitTime = 15 * time.Millisecond
	// maxLimits bounds the limits in a digest.
	maxLimits = 12
	// limitNewsTime is the least time between two digests that go out for a new limit.
	limitNewsTime = 50 * time.Millisecond
)

// followLimits draws permits ahead of need until ctx ends.
func (f *Front) followLimits(ctx context.Context) error {
	ticks := time.NewTicker(mtquota.TickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		if !f.limiter.TickDue() {
			continue
		}
		for _, message := range f.limiter.Tick(f.allocators(), f.peers.list(), f.entries()) {
			f.drawPermits(message)
		}
	}
}

// allocators are the entries that may allocate permits: those that follow the store for all, as
// entries of a large fleet agree on these and know only a part of the others.
func (f *Front) allocators() []string {
	if list := f.readers.Addresses(); len(list) > 0 {
		return list
	}
	return append(f.peers.open(), f.socket.Address())
}

// drawPermits sends a draw to its allocator, which may be this entry.
func (f *Front) drawPermits(message mtquota.Message) {
	if message.To() == f.socket.Address() {
		if grant, _ := f.limiter.Answer(message.To(), message.Draw()); grant != nil {
			f.limiter.Receive(message.To(), grant)
		}
		return
	}
	f.words.Send(message.To(), &fleetv1.Word{Word: &fleetv1.Word_Permitdraw{Permitdraw: message.Draw()}})
}

// permitDrawn answers another entry's draw.
func (f *Front) permitDrawn(from string, draw *fleetv1.Draw) {
	grant, news := f.limiter.Answer(from, draw)
	f.logLimits(news, from)
	if grant != nil {
		f.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Permitgrant{Permitgrant: grant}})
	}
}

// permitGranted takes in an allocator's answer.
func (f *Front) permitGranted(from string, grant *fleetv1.Grant) {
	f.logLimits(f.limiter.Receive(from, grant), from)
}

// permit draws what the target's limit asks for, and says why there is none; empty where the
// request may be sent.
func (r *request) permit(ctx context.Context, choice *mtboard.Choice) string {
	if !r.front.limiter.Limited(choice.Target()) {
		return ""
	}
	verdict := r.front.limiter.Admit(choice.Target())
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		verdict = r.awaitPermit(ctx, waiting.Ticket())
	}
	if refused, ok := verdict.(mtquota.Refused); ok {
		r.front.trail.Metrics().Add("permits_refused_total", 1)
		return "the target's limit: " + refused.Reason()
	}
	r.front.trail.Metrics().Add("permits_taken_total", 1)
	choice.Permit()
	return ""
}

// awaitPermit sends a draw and waits for its answer for a moment.
func (r *request) awaitPermit(ctx context.Context, ticket *mtquota.Ticket) mtquota.Verdict {
	r.front.drawPermits(ticket.Message())
	timer := time.NewTimer(permitTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ticket.Done():
	case <-timer.C:
	}
	return r.front.limiter.Resolve(ticket)
}

// observeLimit takes in the limit that an answer names, and tells others of what is new.
func (r *request) observeLimit(choice *mtboard.Choice, answer *fleetv1.Answer, sent time.Time) {
	target, born := choice.Responder(answer)
	if !r.front.limits.RecordAnswer(target, born, answer, sent) {
		return
	}
	r.front.logLimit(target, append(r.fields(), zap.String("from", "its answer"))...)
	now := time.Since(r.front.begun)
	told := time.Duration(r.front.limitTold.Load())
	if now-told >= limitNewsTime && r.front.limitTold.CompareAndSwap(int64(told), int64(now)) {
		r.front.digest()
	}
}

// logLimits says which limits hold from now on, as another entry has told.
func (f *Front) logLimits(news []*fleetv1.Limit, from string) {
	for _, limit := range news {
		f.logLimit(limit.GetTarget(), zap.String("from", "entry "+from))
	}
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
