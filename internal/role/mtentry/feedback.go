package mtentry

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// feedback is what one attempt's frames tell placement.
type feedback struct {
	begun    time.Time
	uncached uint64
	told     bool
}

// learn passes on what a frame says of its target: its state, how much of the
// prompt it had cached, and how long the first token took.
func (a *attempt) learn(frame *mustardtidev1.Frame) {
	choice := a.task.choice
	if choice == nil {
		return
	}
	place := a.entry.places.of(a.task.service.GetName(), a.entry.evidence.Usable(a.task.service.GetName()))
	name := a.member.GetName()
	switch step := frame.GetStep().(type) {
	case *mustardtidev1.Frame_Begin:
		place.UpdateState(step.Begin.GetState())
		if choice.Target(0).Name() != name {
			place.RecordSent(choice, name)
		}
		matched := min(choice.PromptTokens(), step.Begin.GetMatched())
		a.seen = feedback{begun: time.Now(), uncached: choice.PromptTokens() - matched}
	case *mustardtidev1.Frame_Data:
		if !a.seen.told && !a.seen.begun.IsZero() {
			a.seen.told = true
			place.RecordFirstToken(choice, name, time.Since(a.seen.begun), a.seen.uncached)
		}
	case *mustardtidev1.Frame_Beat:
		place.UpdateState(step.Beat.GetState())
	case *mustardtidev1.Frame_Finish:
		place.UpdateState(step.Finish.GetState())
	}
}
