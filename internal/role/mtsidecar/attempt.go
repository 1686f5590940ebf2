package mtsidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/request/mtbuffer"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

const (
	// bufferLimit bounds the unacknowledged bytes kept for a resume: some
	// thousand tokens of a streamed answer.
	bufferLimit = 1 << 20
	// orphanAfter is how long a run goes on without a reader. An entry finds a
	// silent connection in three seconds and resumes at once; ten leave room
	// for a few failed tries, and bound what a dead entry's run wastes.
	orphanAfter = 10 * time.Second
)

// phase is how far a run has come. Waiting runs can be withdrawn with a true
// "not run"; a run that began can't.
type phase int32

const (
	waiting phase = iota
	begun
	withdrawn
)

// run is one attempt on this target.
type run struct {
	buffer  *mtbuffer.Buffer
	cancel  context.CancelFunc
	phase   atomic.Int32
	headed  atomic.Bool
	settled atomic.Bool
	// kept says that the run may not be repeated, so that it is not cancelled
	// for want of a reader.
	kept bool
	// claiming says that a claim of the run's key is on its way.
	claiming bool
	// matched is the prompt tokens expected in the cache when the run came.
	matched uint64

	mu       sync.Mutex
	orphan   *time.Timer
	replaced chan struct{}
}

func newRun(cancel context.CancelFunc) *run {
	r := &run{buffer: mtbuffer.New(bufferLimit), cancel: cancel}
	r.orphan = time.AfterFunc(orphanAfter, r.abandon)
	return r
}

// begin passes the point after which the target may have seen the request; it
// is false where the run was withdrawn before.
func (r *run) begin() bool { return r.phase.CompareAndSwap(int32(waiting), int32(begun)) }

// withdraw ends a run that was not handed to the target; it is false where it
// was.
func (r *run) withdraw(refusal *mtrefusal.Refusal) bool {
	if !r.phase.CompareAndSwap(int32(waiting), int32(withdrawn)) {
		return phase(r.phase.Load()) == withdrawn
	}
	r.buffer.Finish(&mustardtidev1.Finish{Refusal: refusal.Message()})
	r.cancel()
	return true
}

// reserve keeps a run that is about to claim its key from being handed back: the
// claim names this process, so that no other may run the key. It is false
// where the run was withdrawn before.
func (r *run) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claiming = phase(r.phase.Load()) == waiting
	return r.claiming
}

// handBack withdraws a run of a leaving target, unless its key is claimed.
func (r *run) handBack(refusal *mtrefusal.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.claiming {
		r.withdraw(refusal)
	}
}

// stop ends a run at its entry's word and says whether the target had it.
func (r *run) stop() mustardtidev1.Ran {
	if r.withdraw(mtrefusal.New(mtcode.CallerGone, "")) {
		return mustardtidev1.Ran_NO
	}
	if finish := r.buffer.End(); finish.GetRefusal() != nil {
		return finish.GetRefusal().GetRan()
	}
	if !r.kept {
		r.cancel()
	}
	return mustardtidev1.Ran_YES
}

// abandon ends a run that nobody has read for orphanAfter.
func (r *run) abandon() {
	if r.buffer.End() == nil {
		r.stop()
	}
}

// attach makes its caller the run's one reader. The channel closes when
// another reader takes its place: an entry has one connection that it trusts.
func (r *run) attach() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replaced != nil {
		close(r.replaced)
	}
	r.replaced = make(chan struct{})
	r.orphan.Stop()
	return r.replaced
}

// detach gives the reader's place back if nobody else has taken it.
func (r *run) detach(mine <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mine != r.replaced {
		return
	}
	r.replaced = nil
	if r.buffer.End() == nil {
		r.orphan.Reset(orphanAfter)
	}
}

// settle frees an answer that nobody will ask for again.
func (r *run) settle() {
	r.settled.Store(true)
	r.orphan.Stop()
	r.buffer.Drop()
}

// take puts a target's step into the run's buffer.
func (r *run) take(ctx context.Context, f *mustardtidev1.Frame) error {
	switch step := f.GetStep().(type) {
	case *mustardtidev1.Frame_Head:
		r.headed.Store(true)
		r.buffer.Start(step.Head)
	case *mustardtidev1.Frame_Data:
		return r.buffer.Write(ctx, step.Data)
	}
	return nil
}

// failure says how a run that was handed to the target ended. A refused dial
// is the one proof that the target's program has seen nothing of it.
func failure(ctx context.Context, r *run, err error) *mtrefusal.Refusal {
	if refusal := mtrefusal.FromError(err); refusal != nil {
		return refusal
	}
	ran := mustardtidev1.Ran_UNKNOWN
	switch {
	case mtnet.Refused(err):
		ran = mustardtidev1.Ran_NO
	case r.headed.Load():
		ran = mustardtidev1.Ran_YES
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mtrefusal.New(mtcode.DeadlinePassed, "").WithRan(ran)
	case ctx.Err() != nil:
		return mtrefusal.New(mtcode.CallerGone, "").WithRan(ran)
	default:
		return mtrefusal.New(mtcode.TargetDied, err.Error()).WithRan(ran)
	}
}
