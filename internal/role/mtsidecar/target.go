package mtsidecar

import (
	"context"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtengine"
	"github.com/mustardtide/mustardtide/internal/outside/mtservice"
)

// target is one of the two kinds of program that a sidecar stands beside.
type target interface{ isTarget() }

type engineTarget struct{ *mtengine.Engine }

type serviceTarget struct{ *mtservice.Service }

func (engineTarget) isTarget() {}

func (serviceTarget) isTarget() {}

// program returns the target's adapter; its kind is known with the settings.
func (s *Sidecar) program(service *mustardtidev1.Service) target {
	s.targetOnce.Do(func() {
		transport := s.net.Outside()
		if service.GetKind() == "plain" {
			s.target = serviceTarget{mtservice.New(s.process.GetTarget(), transport)}
			return
		}
		s.target = engineTarget{mtengine.New(s.process.GetTarget(), transport)}
	})
	return s.target
}

// call hands a run to the target's program and returns how it ended.
func call(ctx context.Context, t target, work *mustardtidev1.Work, c *mustardtidev1.Call, emit func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	switch t := t.(type) {
	case engineTarget:
		return t.Run(ctx, work, c, emit)
	case serviceTarget:
		return t.Run(ctx, work, c, emit)
	default:
		return nil, trace.BadParameter("unknown kind of target %T", t)
	}
}
