package mtfront

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
)

// creditTime is how long a request waits for an allocator's answer once its body is read:
// the way to another data centre and back.
const creditTime = 15 * time.Millisecond

// bodyTime is how long a request's credit is held for its body: bodies of ordinary requests come with
// their heads or a moment later.
const bodyTime = 100 * time.Millisecond

const (
	// quotaLogTime is how often it is looked which accounts are over their quotas.
	quotaLogTime = 500 * time.Millisecond
	// maxMetered bounds the accounts that are among the metrics: the first that are asked
	// for here.
	maxMetered = 64
)

// followQuotas draws credit ahead of need until ctx ends.
func (f *Front) followQuotas(ctx context.Context) error {
	ticks := time.NewTicker(mtquota.TickInterval)
	defer ticks.Stop()
	log := &quotaLog{over: map[string]bool{}, metered: map[string]bool{}}
	looked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
		}
		limited := f.limited()
		if limited == 0 {
			continue
		}
		for _, message := range f.quota.Tick(limited, f.peers.open(), f.peers.list()) {
			f.draw(message)
		}
		if time.Since(looked) > quotaLogTime {
			looked = time.Now()
			f.logQuotas(log)
		}
	}
}

// limited is the number of accounts that have a quota.
func (f *Front) limited() int {
	if catalog := f.catalog.Load(); catalog != nil {
		return catalog.Limited()
	}
	return 0
}

// draw sends a draw to its allocator, which may be this entry.
func (f *Front) draw(message mtquota.Message) {
	if message.To() != f.socket.Address() {
		f.words.Send(message.To(), &fleetv1.Word{Word: &fleetv1.Word_Draw{Draw: message.Draw()}})
		return
	}
	if grant := f.allocate(message.To(), message.Draw()); grant != nil {
		f.quota.Receive(message.To(), grant)
	}
}

// allocate answers a draw; nil for one that came twice.
func (f *Front) allocate(from string, draw *fleetv1.Draw) *fleetv1.Grant {
	catalog := f.catalog.Load()
	if catalog == nil {
		return nil
	}
	return f.allocator.Answer(from, draw, f.quota.Entries(), catalog.AccountNamed)
}

// drawn answers another entry's draw.
func (f *Front) drawn(from string, draw *fleetv1.Draw) {
	if grant := f.allocate(from, draw); grant != nil {
		f.words.Send(from, &fleetv1.Word{Word: &fleetv1.Word_Grant{Grant: grant}})
	}
}

// quotaLog is what was logged and counted of the accounts' quotas.
type quotaLog struct {
	// over are the accounts that were over their quotas when last looked at; metered those
	// that are among the metrics.
	over    map[string]bool
	metered map[string]bool
}

// logQuotas logs which accounts went over their quotas and came back.
func (f *Front) logQuotas(log *quotaLog) {
	for _, usage := range f.quota.Usages() {
		name := usage.GetAccount()
		if !log.metered[name] && len(log.metered) < maxMetered {
			log.metered[name] = true
			f.meterQuota(name)
		}
		if usage.GetOver() == log.over[name] {
			continue
		}
		log.over[name] = usage.GetOver()
		fields := []zap.Field{
			zap.String("account", name), zap.Float64("limit", usage.GetRate()), zap.Float64("demand", usage.GetDemand()),
			zap.Int64("held", usage.GetHeld()), zap.Int64("admitted", usage.GetAdmitted()), zap.Int64("refused", usage.GetRefused()),
			zap.String("allocator", usage.GetAllocator()), zap.Duration("heard", usage.GetHeard().AsDuration()), zap.Int("entries", f.quota.Entries()),
		}
		if usage.GetOver() {
			f.trail.Warn(mtkind.QuotaExceeded, fields...)
		} else {
			f.trail.Say(mtkind.QuotaBack, fields...)
		}
	}
}

// meterQuota puts what is used of an account's quota among the metrics.
func (f *Front) meterQuota(name string) {
	gauge := func(metric string, of func(*fleetv1.Usage) int64) {
		f.trail.Metrics().Gauge(metric+`{account="`+name+`"}`, func() int64 { return of(f.quota.Usage(name)) })
	}
	gauge("quota_admitted_total", (*fleetv1.Usage).GetAdmitted)
	gauge("quota_refused_total", (*fleetv1.Usage).GetRefused)
	gauge("quota_drawn_total", (*fleetv1.Usage).GetDrawn)
	gauge("quota_held", (*fleetv1.Usage).GetHeld)
}

// charge takes the request's cost from its account's quota, or refuses. A request for
// which credit is drawn is decided on by resolveCharge.
func (r *request) charge() bool {
	r.cost = mtquota.Cost(r.account, r.ask)
	verdict := r.front.quota.Admit(r.account, r.cost)
	if waiting, ok := verdict.(mtquota.Waiting); ok {
		r.ticket = waiting.Ticket()
		r.front.draw(r.ticket.Message())
		return true
	}
	return r.charged(verdict)
}

// receiveCharged charges the request and reads it whole, or refuses it. Credit is drawn while the body
// comes. A body that takes longer gives its credit back and is charged once it has come: one that
// never does must not hold its account's credit.
func (r *request) receiveCharged(ctx context.Context) bool {
	if r.account.GetRate() <= 0 || r.ask.GetGarbled() {
		// There is no quota, or the cost is known with the parts alone.
		return r.receive(ctx) && r.charge()
	}
	if !r.charge() {
		return false
	}
	returned := make(chan struct{})
	timer := time.AfterFunc(bodyTime, func() {
		defer close(returned)
		r.refund()
		r.ticket, r.cost = nil, 0
	})
	late := sync.OnceValue(func() bool {
		if timer.Stop() {
			return false
		}
		<-returned
		return true
	})
	// A body that breaks off ends the request in receive.
	defer late()
	whole := r.receive(ctx)
	if late() && whole {
		return r.charge()
	}
	return whole
}

// resolveCharge waits for drawn credit for a moment, and decides.
func (r *request) resolveCharge(ctx context.Context) bool {
	if r.ticket == nil {
		return true
	}
	timer := time.NewTimer(creditTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.ticket.Done():
	case <-timer.C:
	}
	ticket := r.ticket
	r.ticket = nil
	return r.charged(r.front.quota.Resolve(ticket))
}

// charged notes a verdict, and answers a request that is refused.
func (r *request) charged(verdict mtquota.Verdict) bool {
	refused, ok := verdict.(mtquota.Refused)
	if !ok {
		return true
	}
	r.exceeded(refused)
	r.cost = 0
	return false
}

// refund gives back the cost of a request that has not run.
func (r *request) refund() {
	if r.ticket != nil {
		// The caller left before its body was read.
		if _, ok := r.front.quota.Resolve(r.ticket).(mtquota.Refused); ok {
			return
		}
	}
	if r.cost > 0 && !r.mayHaveRun {
		r.front.quota.Refund(r.account, r.cost)
	}
}

// exceeded tells the caller that its account is over its quota.
func (r *request) exceeded(refused mtquota.Refused) {
	text := mtcode.RateExceeded.String() + ": " + mtcode.RateExceeded.Text()
	r.turnAway(http.StatusTooManyRequests, text, refused.Reason(), refused.RetryAfter(),
		zap.Stringer("code", mtcode.RateExceeded), zap.Int64("cost", r.cost),
		zap.Float64("limit", r.account.GetRate()), zap.String("allocator", r.front.quota.Allocator(r.account.GetName())))
}
