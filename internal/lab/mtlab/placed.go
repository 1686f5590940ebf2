package mtlab

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/lab/mtfake"
	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
)

// place chooses as the real entry does: candidates, offers where the entry's
// knowledge is not fresh, an order.
func (e *entry) place(c *placed, r *mtrequest.Request, then func([]*mtfake.Target, *mtchoice.Choice)) {
	choice := c.place.Choose(r.Chain(), r.Work().GetPrompt())
	if choice.SkipOffers() {
		then(e.ordered(c, choice), choice)
		return
	}
	left := choice.Len()
	for i := range choice.Len() {
		t := e.find(choice.Target(i).Name())
		e.lab.loop.After(e.trip(t), func() {
			reply := t.Offer(r.Left(e.lab.loop.Now()), r.Chain())
			e.lab.loop.After(e.trip(t), func() {
				c.place.UpdateState(reply.GetState())
				choice.ApplyOffer(i, reply.GetMatched(), reply.GetState().GetWait().AsDuration())
				if reply.GetRefusal() != nil {
					choice.MarkRefused(i)
				}
				if left--; left == 0 {
					c.place.Rank(choice)
					then(e.ordered(c, choice), choice)
				}
			})
		})
	}
}

// ordered turns a choice into targets and notes the first as sent.
func (e *entry) ordered(c *placed, choice *mtchoice.Choice) []*mtfake.Target {
	c.place.RecordSent(choice, choice.Target(0).Name())
	var order []*mtfake.Target
	for i := range choice.Len() {
		order = append(order, e.find(choice.Target(i).Name()))
	}
	return order
}

func (e *entry) find(name string) *mtfake.Target {
	for _, t := range e.lab.targets {
		if t.Name() == name {
			return t
		}
	}
	return nil
}

func (e *entry) heard(state *mustardtidev1.State) {
	if c, ok := e.chooser.(*placed); ok {
		c.place.UpdateState(state)
	}
}

// first feeds a first token back.
func (e *entry) first(a *attemptOf, took time.Duration, cached uint64) {
	c, ok := e.chooser.(*placed)
	if !ok {
		return
	}
	name := a.target().Name()
	c.place.RecordMiss(a.request.Chain(), name, cached)
	c.place.RecordFirstToken(a.choice, name, took, a.uncached)
}
