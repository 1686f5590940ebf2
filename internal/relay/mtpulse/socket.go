// Package mtpulse carries the datagrams between entries and sidecars.
//
// What they tell each other is state, repeated several times a second: a lost
// datagram is made up for by the next, and a path that comes back needs no new
// connection. A connection that went silent would have to be found first.
package mtpulse

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maxSize bounds a datagram: below it none is split on usual links.
const maxSize = 1400

// pollTime is how often a waiting read looks whether it is to end.
const pollTime = 500 * time.Millisecond

// Socket is one process's. It is safe for concurrent use.
type Socket interface {
	// Address is where the socket is bound.
	Address() string
	// Send sends one message and returns its size in bytes. A failure counts as a loss,
	// which the next message makes up for.
	Send(to string, message proto.Message) (int, error)
	// Serve hands each datagram and its sender to take until ctx ends.
	Serve(ctx context.Context, take func(from string, data []byte)) error
}

// udp is a socket of the instance.
type udp struct {
	conn *net.UDPConn
}

// Open binds to an IP:PORT.
func Open(address string) (Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("%q is no IP:PORT", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &udp{conn: conn}, nil
}

func (s *udp) Address() string { return s.conn.LocalAddr().String() }

// Send encodes and sends one message.
func (s *udp) Send(to string, message proto.Message) (int, error) {
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		return 0, trace.BadParameter("%q is no IP:PORT", to)
	}
	data, err := Encode(message)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	n, err := s.conn.WriteToUDPAddrPort(data, address)
	return n, trace.Wrap(err)
}

// Encode returns a message's datagram, and an error where it is too long.
func Encode(message proto.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(data) > maxSize {
		return nil, trace.LimitExceeded("a message of %d bytes is too long", len(data))
	}
	return data, nil
}

// Serve reads datagrams.
func (s *udp) Serve(ctx context.Context, take func(from string, data []byte)) error {
	defer func() { _ = s.conn.Close() }()
	buffer := make([]byte, maxSize+1)
	for ctx.Err() == nil {
		if err := s.conn.SetReadDeadline(time.Now().Add(pollTime)); err != nil {
			return trace.Wrap(err)
		}
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil || n > maxSize {
			// A time-out, or the echo of a datagram that nobody took.
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buffer[:n])
	}
	return ctx.Err()
}
