// Package mtserver is a kratos HTTP server on a role's network.
package mtserver

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// Bounds of a caller's connection: headers within headerTime and headerBytes.
const (
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	idleTime    = 2 * time.Minute
)

// Server is kratos' HTTP server with the settings that streams need.
type Server struct {
	*khttp.Server
	table *mtconnection.Table
}

// CloseResting closes the connections that wait for their next request; Closed
// tells of the requests that cross it. For servers of NewDirect.
func (s *Server) CloseResting() { s.table.CloseResting() }

// Serve serves the connections of a listener that are the table's, as Start does at the listener that
// the server was made with.
func (s *Server) Serve(listener net.Listener) error {
	return s.Server.Serve(&guard{Listener: listener, table: s.table})
}

// BoundRequests lets a request take at most a time to come whole. It is for servers whose handlers
// read no bodies, and is called before Start.
func (s *Server) BoundRequests(d time.Duration) { s.ReadTimeout = d }

// New returns a server on a listener. kratos cancels a request's context after
// one second unless its time-out is zero: every stream would be cut.
func New(listener net.Listener, config *tls.Config, handler http.Handler) *Server {
	// Without an endpoint kratos reads the instance's network interfaces, which
	// not every instance allows.
	endpoint := &url.URL{Scheme: "http", Host: listener.Addr().String()}
	options := []khttp.ServerOption{
		khttp.Listener(listener), khttp.Timeout(0), khttp.StrictSlash(false), khttp.Endpoint(endpoint),
	}
	if config != nil {
		options = append(options, khttp.TLSConfig(config))
	}
	server := khttp.NewServer(options...)
	server.ReadHeaderTimeout = headerTime
	server.IdleTimeout = idleTime
	server.MaxHeaderBytes = headerBytes
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	server.Protocols = protocols
	server.HTTP2 = mtnet.ServerHTTP2()
	server.HandlePrefix("/", handler)
	return &Server{Server: server}
}

// NewDirect is New without kratos' router, whose cleaning of paths answers some
// callers' paths with a redirect, and without HTTP/2, for callers that are
// routed by path and host alone. Its connections are those of the table.
func NewDirect(listener net.Listener, handler http.Handler, table *mtconnection.Table) *Server {
	server := New(&guard{Listener: listener, table: table}, nil, handler)
	server.Handler = begin(handler)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	server.Protocols = protocols
	server.table = table
	watch(server.Server.Server)
	return server
}
