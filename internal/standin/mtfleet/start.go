package mtfleet

import (
	"context"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/role/mtentry"
	"github.com/mustardtide/mustardtide/internal/role/mtsidecar"
)

// startSidecar runs a sidecar and lists it.
func (f *Fleet) startSidecar(process *mustardtidev1.Process) error {
	n := f.node(process.GetName())
	f.place(n, process.GetInternal())
	n.sidecar = mtsidecar.New(process, f.wire.NetOf(process.GetName()), n.log)
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	server, err := n.sidecar.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	n.drain = n.sidecar.Drain
	n.wait = n.sidecar.Wait
	n.start(server)
	f.list("sidecar", process)
	return nil
}

// startEntry runs an entry and lists it.
func (f *Fleet) startEntry(process *mustardtidev1.Process) error {
	n := f.node(process.GetName())
	f.place(n, process.GetInternal())
	n.public = process.GetPublic()
	n.entry = mtentry.New(process, f.wire.NetOf(process.GetName()), n.log)
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	servers, err := n.entry.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	n.drain = n.entry.Drain
	n.wait = n.entry.Wait
	n.start(servers...)
	f.list("entry", process)
	return nil
}

func (f *Fleet) list(role string, process *mustardtidev1.Process) {
	f.platform.PutMember(&mustardtidev1.Member{
		Name:       process.GetName(),
		Role:       role,
		Address:    process.GetInternal(),
		Datacentre: process.GetDatacentre(),
		Service:    process.GetService(),
	})
}
