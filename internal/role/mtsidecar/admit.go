package mtsidecar

import (
	"context"

	"github.com/gravitational/trace"
)

// defaultSlots is the batch of a target whose settings give none.
const defaultSlots = 8

// admit bounds the requests that a target runs at once.
type admit struct {
	slots chan struct{}
}

func newAdmit() *admit { return &admit{slots: make(chan struct{}, defaultSlots)} }

// enter waits for a slot until ctx ends.
func (a *admit) enter(ctx context.Context) error {
	select {
	case a.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (a *admit) leave() { <-a.slots }
