package mtfront

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mustardtide/mustardtide/internal/admission/mtclosing"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

const (
	// noticeTime is how long a stopping entry takes every request: the balancer
	// asks each second and needs two misses to send new connections elsewhere.
	// What it takes later has to end within the grace time.
	noticeTime = 2900 * time.Millisecond
	// emptyTime is how often a stopping entry looks whether its requests are over:
	// little beside the time that its replacement takes to start.
	emptyTime = 20 * time.Millisecond
)

// Doors are the listener at which callers arrive.
type Doors interface {
	// CloseResting closes the connections that wait for their next request.
	CloseResting()
	// Shutdown takes no more connections, closes those that rest and waits for
	// the requests under way.
	Shutdown(ctx context.Context) error
}

// taking is what an entry takes.
type taking int32

const (
	takingAll taking = iota
	// takingShort is what a stopping entry takes while its streams last: what is
	// over before its own end.
	takingShort
	// takingNone is set before connections that rest are closed: a request that
	// crosses the close is read, and must not be passed on, as its caller gets no
	// answer.
	takingNone
)

// takes says whether the entry may still begin the request.
func (r *request) takes(ctx context.Context) bool {
	if mtserver.Closed(ctx) {
		return false
	}
	switch taking(r.front.taking.Load()) {
	case takingNone:
		return false
	case takingShort:
		closing := r.front.closing.Load()
		if r.service.GetModel() == "" {
			return closing.Accepts(r.until)
		}
		start, token := r.front.pace(r.service.GetName()).Slowest()
		return closing.AcceptsAnswer(time.Now(), r.until, r.ask.GetOutput(), start, token, r.front.peers.ends())
	default:
		return true
	}
}

// Drain serves until the balancer has taken the entry out. While its streams
// last, it takes only what is over before its own end: the balancer may have
// nowhere else to send callers. It returns once no request is left, or with an
// error where some outlast ctx.
func (f *Front) Drain(ctx context.Context, doors Doors) error {
	f.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(noticeTime):
	}
	f.taking.Store(int32(takingShort))
	// Their callers go elsewhere without having been refused.
	doors.CloseResting()
	f.emptied(ctx)
	f.taking.Store(int32(takingNone))
	// Bodies that have not come by now may never do; their callers can send them to another entry.
	f.memory.BreakOff()
	return doors.Shutdown(ctx)
}

// Stop turns the entry unready: answers from now on close their connections.
func (f *Front) Stop() {
	closing := mtclosing.EndingAt(time.Now().Add(f.site.GetBounds().GetGrace().AsDuration()))
	if f.closing.CompareAndSwap(nil, &closing) {
		f.trail.Say(mtkind.FleetStopping, zap.Int64("live", f.Live()))
		f.alarm()
	}
}

// emptied returns once the requests are over that were taken while the entry
// took all, but for those whose bodies are still coming.
func (f *Front) emptied(ctx context.Context) {
	ticks := time.NewTicker(emptyTime)
	defer ticks.Stop()
	for f.live.Load() > int64(f.memory.Receiving()) {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// Live is the number of requests under way.
func (f *Front) Live() int64 { return f.live.Load() + f.late.Load() }
