package mtentry

import (
	"net/http"
	"sync"

	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// clients keeps one connection pool per sidecar, so that a pool whose
// connection went silent can be abandoned alone.
type clients struct {
	net *mtnet.Net

	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	transport *http.Transport
	sidecar   mustardtidev1connect.SidecarServiceClient
}

func newClients(network *mtnet.Net) *clients {
	return &clients{net: network, pools: map[string]*pool{}}
}

// sidecar returns the client for an address.
func (c *clients) sidecar(address string) mustardtidev1connect.SidecarServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[address]; ok {
		return p.sidecar
	}
	transport := c.net.Internal()
	p := &pool{
		transport: transport,
		sidecar:   mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: transport}, c.net.Scheme()+"://"+address),
	}
	c.pools[address] = p
	return p.sidecar
}

// abandon forgets an address's connections: one that went silent would take
// the next request as well. Streams on them go on until they end.
func (c *clients) abandon(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[address]; ok {
		p.transport.CloseIdleConnections()
		delete(c.pools, address)
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
}
