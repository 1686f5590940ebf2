package mtfleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/role/mtserver"
)

// stopTimeout bounds a graceful stop in tests.
const stopTimeout = 10 * time.Minute

// callPoll is how often a stop looks whether a stand-in's calls have ended.
const callPoll = time.Millisecond

// serve runs a stand-in's handler as a node.
func (f *Fleet) serve(name, address string, handler http.Handler) error {
	n := f.node(name)
	f.place(n, address)
	listener, err := f.wire.Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	n.start(mtserver.New(listener, nil, n.counted(handler)))
	return nil
}

// counted keeps count of a stand-in's calls under way: closing a server does
// not end a slow handler, and a test's bubble must not end before it.
func (n *node) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.calls.Add(1)
		defer n.calls.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (n *node) start(servers ...*mtserver.Server) {
	n.servers = servers
	for _, server := range servers {
		end := make(chan error, 1)
		n.ends = append(n.ends, end)
		go func() { end <- server.Start(context.Background()) }()
	}
}

// Stop ends one process gracefully, as SIGTERM does.
func (f *Fleet) Stop(name string) error {
	n := f.remove(name)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if n.drain != nil {
		if err := n.drain(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, server := range n.servers {
		if err := server.Stop(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return n.finish()
}

// Kill ends one process at once: its connections break and it says no word.
func (f *Fleet) Kill(name string) error {
	n := f.remove(name)
	if n == nil {
		return trace.NotFound("no process %s", name)
	}
	for _, server := range n.servers {
		_ = server.Close()
	}
	f.wire.Cut(n.internal)
	f.wire.Cut(n.public)
	return n.finish()
}

// Close ends every process, the stand-ins last.
func (f *Fleet) Close() error {
	f.mu.Lock()
	nodes := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	f.mu.Unlock()
	slices.SortFunc(nodes, func(a, b *node) int { return rank(a) - rank(b) })
	var errors []error
	for _, n := range nodes {
		errors = append(errors, f.Kill(n.name))
	}
	f.cancel()
	return trace.NewAggregate(errors...)
}

// rank orders a stop: entries, sidecars, stand-ins.
func rank(n *node) int {
	switch {
	case n.entry != nil:
		return 0
	case n.sidecar != nil:
		return 1
	default:
		return 2
	}
}

func (f *Fleet) remove(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	delete(f.nodes, name)
	return n
}

func (n *node) finish() error {
	if n.cancel != nil {
		n.cancel()
	}
	errors := make([]error, 0, len(n.ends)+1)
	for _, end := range n.ends {
		errors = append(errors, <-end)
	}
	for n.calls.Load() > 0 {
		time.Sleep(callPoll)
	}
	if n.wait != nil {
		errors = append(errors, n.wait())
	}
	return trace.NewAggregate(errors...)
}
