package mtsync_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
)

// outcome is what an operator was told of a submit.
type outcome int

const (
	accepted outcome = iota
	raced
	unsure
	unsubmitted
)

// submitInput is a submit based on a revision, or a look at the revision in
// force where it is not.
type submitInput struct {
	submit bool
	based  uint64
}

// submitOutput is the operator's outcome, or the revision that a look gave.
type submitOutput struct {
	outcome  outcome
	revision uint64
}

// manifestModel is the settings plane as operators see it: one revision, that a
// submit based on it raises by one. What was not told may have taken effect.
var manifestModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		revision, in, out := state.(uint64), input.(submitInput), output.(submitOutput)
		if !in.submit {
			return when(out.revision == revision, revision)
		}
		switch out.outcome {
		case accepted:
			return when(in.based == revision, revision+1)
		case raced:
			return when(in.based != revision, revision)
		case unsure:
			if in.based == revision {
				return []any{revision, revision + 1}
			}
			return []any{revision}
		default:
			return []any{revision}
		}
	},
}

func when(fits bool, next uint64) []any {
	if !fits {
		return nil
	}
	return []any{next}
}

// operators submit at once and record what they were told.
type operators struct {
	world *world
	start time.Time

	mu      sync.Mutex
	history []porcupine.Operation
	told    map[outcome]int
}

func newOperators(w *world) *operators {
	return &operators{world: w, start: time.Now(), told: map[outcome]int{}}
}

// work lets one operator submit a number of edits, each based on what a look
// at the revision in force showed.
func (o *operators) work(ctx context.Context, client *mtplatform.Client, operator, edits int, think func() time.Duration) {
	for edit := range edits {
		time.Sleep(think())
		held, err := o.look(ctx, client, operator)
		if err != nil {
			continue
		}
		time.Sleep(think() / 4)
		text := []byte(settings(operator*100 + edit))
		next := held.Next(fmt.Sprintf("%d-%d", operator, edit), "operator", map[string][]byte{"base": text})
		call := o.now()
		told := o.outcome(held.Save(ctx, client, next))
		if told == accepted {
			// Chunks that could not be retired stay; nothing else is lost.
			_ = held.Retire(ctx, client, next)
		}
		o.record(operator, submitInput{submit: true, based: held.Revision()}, submitOutput{outcome: told}, call)
	}
}

func (o *operators) look(ctx context.Context, client *mtplatform.Client, operator int) (*mtmanifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	call := o.now()
	held, err := mtmanifest.Load(ctx, client, nil)
	if err != nil {
		return nil, err
	}
	o.record(operator, submitInput{}, submitOutput{revision: held.Revision()}, call)
	return held, nil
}

func (o *operators) outcome(err error) outcome {
	told := unsubmitted
	switch {
	case err == nil:
		told = accepted
	case trace.IsCompareFailed(err):
		told = raced
	case trace.IsConnectionProblem(err):
		told = unsure
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told[told]++
	return told
}

// record notes an operation. One that was not told may still take effect: it
// has no end.
func (o *operators) record(operator int, in submitInput, out submitOutput, call int64) {
	end := o.now()
	if out.outcome == unsure {
		end = math.MaxInt64
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: call, Return: end})
}

func (o *operators) now() int64 { return int64(time.Since(o.start)) }
