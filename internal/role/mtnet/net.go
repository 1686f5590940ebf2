// Package mtnet is the network that a role listens and dials on. Tests give
// roles one in memory, so that the real roles run under a paused clock.
package mtnet

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
)

// Times that bound a connection: a dial to an instance that is gone, and the
// pings that find a connection which something between has forgotten.
const (
	dialTimeout = 2 * time.Second
	pingEvery   = 2 * time.Second
	pingTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second
	// streamWindow bounds what a transport holds of one stream whose reader is
	// slow; net/http's own default is 4 MB.
	streamWindow = 256 << 10
)

// Net listens and dials; the zero value is not for use.
type Net struct {
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// narrow dials with small buffers, nil for dial.
	narrow func(ctx context.Context, network, address string) (net.Conn, error)
	server *tls.Config
	client *tls.Config
}

// System is the instance's own network.
func System() *Net {
	dialer := &net.Dialer{Timeout: dialTimeout}
	config := net.ListenConfig{}
	return &Net{
		listen: func(address string) (net.Listener, error) {
			return config.Listen(context.Background(), "tcp", address)
		},
		dial: dialer.DialContext,
	}
}

// New returns a network of the given functions.
func New(listen func(string) (net.Listener, error), dial func(context.Context, string, string) (net.Conn, error)) *Net {
	return &Net{listen: listen, dial: dial}
}

// Secured returns a copy whose internal connections use the TLS configurations.
func (n *Net) Secured(server, client *tls.Config) *Net {
	secured := *n
	secured.server = server
	secured.client = client
	return &secured
}

// Listen opens a listener.
func (n *Net) Listen(address string) (net.Listener, error) { return n.listen(address) }

// ServerTLS is the internal listeners' TLS configuration, or nil.
func (n *Net) ServerTLS() *tls.Config { return n.server }

// Dial opens a connection.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, "tcp", address)
}

// DialTarget opens a connection for callers' requests, on which few bytes may wait unread.
func (n *Net) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	if n.narrow == nil {
		return n.Dial(ctx, address)
	}
	return n.narrow(ctx, "tcp", address)
}

// Scheme is the URL scheme of the internal listeners.
func (n *Net) Scheme() string {
	if n.client != nil {
		return "https"
	}
	return "http"
}

// Internal returns the transport between the system's processes: HTTP/2, with
// or without TLS, and pings on idle connections.
func (n *Net) Internal() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(n.client != nil)
	protocols.SetUnencryptedHTTP2(n.client == nil)
	return &http.Transport{
		DialContext:     n.dial,
		TLSClientConfig: n.client,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingEvery,
			PingTimeout:     pingTimeout,

			MaxReceiveBufferPerStream: streamWindow,
		},
	}
}

// ServerHTTP2 returns the listeners' HTTP/2 settings: their pings end a
// connection that went silent, so that its runs count as orphaned.
func ServerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingEvery, PingTimeout: pingTimeout}
}

// Refused says that err is a failed dial: nothing was sent.
func Refused(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// Outside returns the transport to targets and the platform: plain HTTP/1.1, whose responses are
// checked.
func (n *Net) Outside() *mttransport.Transport { return mttransport.New(n.Dial) }
