// Package mtfleet runs the real roles and the stand-ins in one process on a
// network in memory, for the demo and for tests under a paused clock.
package mtfleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
	"github.com/mustardtide/mustardtide/internal/role/mtentry"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mtsidecar"
	"github.com/mustardtide/mustardtide/internal/settings/mtmanifest"
	"github.com/mustardtide/mustardtide/internal/standin/mtplatform"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"

	platformclient "github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

// platformAddress is where the stand-in platform listens.
const platformAddress = "10.0.0.1:80"

// namespace holds the system's objects.
const namespace = "default"

// Fleet is a set of processes. Names are unique; each has addresses of its own.
type Fleet struct {
	wire     *mtwire.Wire
	platform *mtplatform.Server
	ctx      context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	next  int
	nodes map[string]*node
	// addresses outlive their nodes.
	addresses map[string]string
}

// node is one process or stand-in.
type node struct {
	name     string
	public   string
	internal string
	log      *mtevent.Log
	cancel   context.CancelFunc
	servers  []*mtserver.Server
	ends     []chan error
	drain    func(context.Context) error
	wait     func() error
	entry    *mtentry.Entry
	sidecar  *mtsidecar.Sidecar
}

// New starts the stand-in platform.
func New() (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{wire: mtwire.New(), platform: mtplatform.New(), ctx: ctx, cancel: cancel, nodes: map[string]*node{}, addresses: map[string]string{}}
	return f, f.serve("platform", platformAddress, f.platform)
}

// Wire is the network that all processes are on.
func (f *Fleet) Wire() *mtwire.Wire { return f.wire }

// Platform is the stand-in platform.
func (f *Fleet) Platform() *mtplatform.Server { return f.platform }

// Client is a platform client outside all processes.
func (f *Fleet) Client() *platformclient.Client {
	return platformclient.New("http://"+platformAddress, namespace, f.wire.Net().Outside())
}

// Submit puts a base file in force.
func (f *Fleet) Submit(base string) error {
	client := f.Client()
	held, err := mtmanifest.Load(f.ctx, client, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	next := held.Next(fmt.Sprintf("submission-%d", held.Revision()+1), "fleet", map[string][]byte{"base": []byte(base)})
	return held.Save(f.ctx, client, next)
}

// AddTarget starts a target with its sidecar and lists the sidecar.
func (f *Fleet) AddTarget(name, service, datacentre string, program http.Handler) error {
	target := f.address()
	if err := f.serve(name+"-program", target, program); err != nil {
		return trace.Wrap(err)
	}
	return f.AddSidecar(name, service, datacentre, target)
}

// AddSidecar starts a sidecar for a target at an address and lists it.
func (f *Fleet) AddSidecar(name, service, datacentre, target string) error {
	n := f.node(name)
	f.place(n, f.address())
	process := f.process(n, datacentre)
	process.Service = service
	process.Target = "http://" + target
	n.sidecar = mtsidecar.New(process, f.wire.Net(), n.log)
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	server, err := n.sidecar.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	n.drain = n.sidecar.Drain
	n.wait = n.sidecar.Wait
	n.start(server)
	f.platform.PutMember(&mustardtidev1.Member{Name: name, Role: "sidecar", Address: n.internal, Datacentre: datacentre, Service: service})
	return nil
}

// AddEntry starts an entry and lists it.
func (f *Fleet) AddEntry(name, datacentre string) error {
	n := f.node(name)
	f.place(n, f.address())
	n.public = f.address()
	process := f.process(n, datacentre)
	process.Public = n.public
	n.entry = mtentry.New(process, f.wire.Net(), n.log)
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	servers, err := n.entry.Open(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	n.drain = n.entry.Drain
	n.wait = n.entry.Wait
	n.start(servers...)
	f.platform.PutMember(&mustardtidev1.Member{Name: name, Role: "entry", Address: n.internal, Datacentre: datacentre})
	return nil
}

// Entry is the URL of an entry's listener for callers.
func (f *Fleet) Entry(name string) string { return "http://" + f.find(name).public }

// Handler is an entry's API for callers, for a listener outside the fleet.
func (f *Fleet) Handler(name string) http.Handler { return f.find(name).entry.Handler() }

// Address is the internal address of a process, also of one that has ended.
func (f *Fleet) Address(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[name]
}

// Log is the event log of a process.
func (f *Fleet) Log(name string) *mtevent.Log { return f.find(name).log }

func (f *Fleet) process(n *node, datacentre string) *mustardtidev1.Process {
	return &mustardtidev1.Process{
		Name:       n.name,
		Datacentre: datacentre,
		Internal:   n.internal,
		Platform:   "http://" + platformAddress,
		Namespace:  namespace,
		Lag:        durationpb.New(0),
	}
}

func (f *Fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &node{name: name, log: mtevent.New(name, &mtstamp.Clock{}, nil)}
	f.nodes[name] = n
	return n
}

func (f *Fleet) find(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// place gives a node its internal address.
func (f *Fleet) place(n *node, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.internal = address
	f.addresses[n.name] = address
}

// address gives an unused one.
func (f *Fleet) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return fmt.Sprintf("10.0.%d.%d:80", 1+f.next/250, 1+f.next%250)
}
