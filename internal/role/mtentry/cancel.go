package mtentry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

const (
	// askTimeout bounds how long a caller whose deadline has passed waits for
	// the word whether its request ran.
	askTimeout = 250 * time.Millisecond
	// trustNoRun is how long after a run was sent its sidecar's "no such run"
	// is believed: sidecars remember ended runs for longer.
	trustNoRun = 20 * time.Second
)

// cancel ends the run at its sidecar and says whether it ran.
func (a *attempt) cancel(timeout time.Duration) mustardtidev1.Ran {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := a.entry.clients.sidecar(a.member.GetAddress()).Cancel(ctx, connect.NewRequest(&mustardtidev1.CancelRequest{
		Peer:    a.entry.peer(),
		Run:     a.task.work.GetRun(),
		Attempt: a.number,
		Boot:    a.trusted(),
	}))
	if err != nil {
		return mustardtidev1.Ran_UNKNOWN
	}
	return reply.Msg.GetRan()
}

// trusted is the boot by which the sidecar may say that it never had the run.
func (a *attempt) trusted() string {
	if time.Since(a.sent) > trustNoRun {
		return ""
	}
	return a.boot
}

// cancelLater ends the run without making the caller wait. A sidecar that
// can't be told finds the run orphaned after some seconds.
func (a *attempt) cancelLater() {
	a.entry.clients.tail.Go(func() { a.cancel(tailTimeout) })
}
