package mtsidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtqueue"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/settings/mtsnapshot"
)

// admit gives each waiting run its start or its refusal, as the admission queue
// decides. It adds the lock, the timer and the settings.
type admit struct {
	mu       sync.Mutex
	queue    *mtqueue.Queue
	revision uint64
	weights  map[string]float64
	waiting  map[runKey]chan *mtrefusal.Refusal
	timer    *time.Timer
	down     bool
}

func newAdmit() *admit {
	a := &admit{waiting: map[runKey]chan *mtrefusal.Refusal{}}
	a.queue = mtqueue.New(nil, func(account string) float64 { return a.weights[account] })
	return a
}

// configure takes in settings that changed. The lock is held.
func (a *admit) configure(snapshot *mtsnapshot.Snapshot, service string) {
	if snapshot.Revision() == a.revision {
		return
	}
	a.revision = snapshot.Revision()
	a.weights = map[string]float64{}
	for _, account := range snapshot.Base().GetAccounts() {
		a.weights[account.GetName()] = account.GetWeight()
	}
	a.queue.Configure(snapshot.Service(service))
}

// enter waits until a run starts. A refusal says that it did not.
func (a *admit) enter(ctx context.Context, snapshot *mtsnapshot.Snapshot, work *mustardtidev1.Work, matched uint64) *mtrefusal.Refusal {
	key := runKey{run: work.GetRun(), attempt: work.GetAttempt()}
	answer := make(chan *mtrefusal.Refusal, 1)
	a.mu.Lock()
	a.configure(snapshot, work.GetService())
	refusal := a.add(work, matched)
	if refusal == nil {
		a.waiting[key] = answer
		a.step()
	}
	a.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	select {
	case refusal = <-answer:
		return refusal
	case <-ctx.Done():
		return a.withdraw(ctx, key, answer)
	}
}

func (a *admit) add(work *mustardtidev1.Work, matched uint64) *mtrefusal.Refusal {
	if a.down {
		return targetDown()
	}
	return a.queue.Add(work, matched)
}

// target takes in whether the target's program answers. While it does not,
// nothing is handed to it and what waits is handed back at once: it would wait
// for a cold start that another target does not need, and a run begun on a dead
// program would be blamed for its death.
func (a *admit) target(up bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = !up
	if up {
		return
	}
	for key, answer := range a.waiting {
		a.queue.Done(key.run, key.attempt, nil)
		answer <- targetDown()
	}
	clear(a.waiting)
}

func targetDown() *mtrefusal.Refusal {
	return mtrefusal.New(mtcode.NoTarget, "the target's program does not answer").WithRetryAfter(probeEvery)
}

// withdraw takes a run out whose caller or deadline is gone. Where its start
// came at the same moment, its place is given back.
func (a *admit) withdraw(ctx context.Context, key runKey, answer <-chan *mtrefusal.Refusal) *mtrefusal.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, key)
	a.queue.Done(key.run, key.attempt, nil)
	a.step()
	select {
	case refusal := <-answer:
		if refusal != nil {
			return refusal
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mtrefusal.New(mtcode.DeadlineTooNear, "")
	}
	return mtrefusal.New(mtcode.CallerGone, "")
}

// first tells that a run's first output came.
func (a *admit) first(work *mustardtidev1.Work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.FirstOutput(work.GetRun(), work.GetAttempt())
	a.step()
}

// leave gives back the place of a run that ended.
func (a *admit) leave(work *mustardtidev1.Work, finish *mustardtidev1.Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Done(work.GetRun(), work.GetAttempt(), finish)
	a.step()
}

// step lets the queue start and give up what it will, and sets the timer to its
// next change. The lock is held.
func (a *admit) step() {
	a.queue.Expire(func(work *mustardtidev1.Work, refusal *mtrefusal.Refusal) { a.tell(work, refusal) })
	for work := a.queue.Next(); work != nil; work = a.queue.Next() {
		a.tell(work, nil)
	}
	wake := a.queue.WakeTime()
	if wake.IsZero() {
		return
	}
	if a.timer == nil {
		a.timer = time.AfterFunc(time.Until(wake), a.tick)
		return
	}
	a.timer.Reset(time.Until(wake))
}

func (a *admit) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step()
}

func (a *admit) tell(work *mustardtidev1.Work, refusal *mtrefusal.Refusal) {
	key := runKey{run: work.GetRun(), attempt: work.GetAttempt()}
	if answer := a.waiting[key]; answer != nil {
		answer <- refusal
		delete(a.waiting, key)
	}
}

// offer judges a request and reserves its place for a short while.
func (a *admit) offer(snapshot *mtsnapshot.Snapshot, work *mustardtidev1.Work, matched uint64) (time.Duration, *mtrefusal.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure(snapshot, work.GetService())
	return a.queue.Reserve(work, matched)
}

// describe fills in what the queue knows of the target.
func (a *admit) describe(state *mustardtidev1.State) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	state.Running = uint32(a.queue.Running())
	state.Queued = uint32(a.queue.Queued())
	state.Backlog = a.queue.BacklogCost()
	state.Prefill = a.queue.PrefillRate()
	return a.queue.PredictWait(&mustardtidev1.Work{Class: mustardtidev1.Class_SHORT}, 0)
}
