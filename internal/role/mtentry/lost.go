package mtentry

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// errEnded is a stream that its server closed before the last frame.
var errEnded = errors.New("the stream ended before the answer did")

// errOver ends the requests that outlast the drain's bound.
var errOver = errors.New("the entry's drain has reached its bound")

// lost gives up a connection and notes what its loss says about the target.
func (a *attempt) lost(ctx context.Context, pool *pool, err error) error {
	if err == nil {
		err = errEnded
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		err = cause
	}
	name, address := a.member.GetName(), a.member.GetAddress()
	a.entry.clients.abandon(address, pool)
	a.entry.note(mtkind.AttemptLost, a.task, err.Error())
	switch {
	case mtnet.Refused(err):
		a.entry.evidence.Refused(name, address)
	case errors.Is(err, errSilent):
		a.entry.evidence.Silent(name, address)
	}
	return err
}

// lossCode is what a caller is told about a run that can't be followed.
func (a *attempt) lossCode(err error) mtcode.Code {
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return mtcode.OffsetDropped
	case mtnet.Refused(err), errors.Is(err, errSilent):
		return mtcode.Unreachable
	default:
		return mtcode.Incomplete
	}
}

// ran says what is known without asking the sidecar.
func (a *attempt) ran() mustardtidev1.Ran {
	if a.status > 0 {
		return mustardtidev1.Ran_YES
	}
	return mustardtidev1.Ran_UNKNOWN
}

// stopped ends an attempt whose request is over: its caller hung up, its
// deadline passed or the entry's drain did. Where the target has shown nothing
// yet, the sidecar is asked whether it ran: only it can say "not run".
func (a *attempt) stopped(ctx context.Context) *mtrefusal.Refusal {
	refusal := mtrefusal.New(stopCode(ctx), "").WithRan(a.ran())
	if a.status > 0 || refusal.Code() == mtcode.CallerGone {
		a.cancelLater()
		return refusal
	}
	return refusal.WithRan(a.cancel(askTimeout))
}

func stopCode(ctx context.Context) mtcode.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errOver):
		return mtcode.Leaving
	case errors.Is(cause, context.DeadlineExceeded):
		return mtcode.DeadlinePassed
	default:
		return mtcode.CallerGone
	}
}
