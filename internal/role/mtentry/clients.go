package mtentry

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// clients keeps one connection pool per sidecar, so that a pool whose
// connection went silent can be abandoned alone.
type clients struct {
	net  *mtnet.Net
	peer func() *mustardtidev1.Peer
	hear connect.Interceptor

	mu    sync.Mutex
	pools map[string]*pool
	tail  sync.WaitGroup
}

// pool is the connections to one sidecar, until one of them is given up.
type pool struct {
	transport *http.Transport
	sidecar   mustardtidev1connect.SidecarServiceClient
	acks      *acks
}

func newClients(network *mtnet.Net, peer func() *mustardtidev1.Peer, hear connect.Interceptor) *clients {
	return &clients{net: network, peer: peer, hear: hear, pools: map[string]*pool{}}
}

// sidecar returns the client for an address.
func (c *clients) sidecar(address string) mustardtidev1connect.SidecarServiceClient {
	return c.pool(address).sidecar
}

func (c *clients) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[address]; ok {
		return p
	}
	transport := c.net.Internal()
	// Frames hold a few tokens each: compressing them costs the sidecar more
	// time than all its other work on a request.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	sidecar := mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: transport}, c.net.Scheme()+"://"+address, plain, connect.WithInterceptors(c.hear))
	p := &pool{transport: transport, sidecar: sidecar, acks: newAcks(sidecar, c.peer, &c.tail)}
	c.pools[address] = p
	return p
}

// abandon forgets a pool: a connection that went silent would take the next
// request as well. Streams on it go on until they end. A pool that took its
// place already is not touched.
func (c *clients) abandon(address string, given *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	given.transport.CloseIdleConnections()
	if c.pools[address] == given {
		delete(c.pools, address)
	}
}

// close waits for what still goes out in the background and closes the pools.
func (c *clients) close() {
	c.tail.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}
