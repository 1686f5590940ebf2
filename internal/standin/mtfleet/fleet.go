// Package mtfleet runs the real roles and the stand-ins in one process on a
// network in memory, for the demo and for tests under a paused clock.
package mtfleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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
	peers []string
	// addresses outlive their nodes.
	addresses map[string]string
	processes map[string]*mustardtidev1.Process
	lag       time.Duration
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
	calls    atomic.Int64
	drain    func(context.Context) error
	wait     func() error
	entry    *mtentry.Entry
	sidecar  *mtsidecar.Sidecar
}

// New starts the stand-in platform.
func New() (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		wire:      mtwire.New(),
		platform:  mtplatform.New(),
		ctx:       ctx,
		cancel:    cancel,
		nodes:     map[string]*node{},
		addresses: map[string]string{},
		processes: map[string]*mustardtidev1.Process{},
	}
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
	process := f.process(name, f.address(), datacentre)
	process.Service = service
	process.Target = "http://" + target
	return f.startSidecar(process)
}

// AddEntry starts an entry and lists it.
func (f *Fleet) AddEntry(name, datacentre string) error {
	process := f.process(name, f.address(), datacentre)
	process.Public = f.address()
	return f.startEntry(process)
}

// Restart starts a process that was stopped or killed with the same settings
// at the same addresses.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	process := f.processes[name]
	f.mu.Unlock()
	switch {
	case process == nil:
		return trace.NotFound("no process %s", name)
	case process.GetPublic() != "":
		return f.startEntry(process)
	default:
		return f.startSidecar(process)
	}
}

// Lag is how long the entries added from now on serve after they have turned
// unready.
func (f *Fleet) Lag(lag time.Duration) { f.lag = lag }

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

func (f *Fleet) process(name, address, datacentre string) *mustardtidev1.Process {
	process := &mustardtidev1.Process{
		Name:       name,
		Datacentre: datacentre,
		Internal:   address,
		Platform:   "http://" + platformAddress,
		Namespace:  namespace,
		Lag:        durationpb.New(f.lag),
		Peers:      f.seeds(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = process
	return process
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
