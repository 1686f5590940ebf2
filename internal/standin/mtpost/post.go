// Package mtpost carries datagrams in memory, for tests under a paused clock.
package mtpost

import (
	"context"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
)

// backlog bounds the datagrams that wait at a socket; more are lost, as on a
// real network.
const backlog = 256

// Post connects sockets by their addresses.
type Post struct {
	mu      sync.Mutex
	sockets map[string]*socket
	// muted are the addresses from which datagrams are lost, deafened those to which they are.
	muted    map[string]bool
	deafened map[string]bool
	sent     map[string]int
}

// New returns a network without sockets.
func New() *Post {
	return &Post{sockets: map[string]*socket{}, muted: map[string]bool{}, deafened: map[string]bool{}, sent: map[string]int{}}
}

// Cut lets all datagrams to and from an address be lost, or none any more.
func (p *Post) Cut(address string, cut bool) {
	p.Mute(address, cut)
	p.Deafen(address, cut)
}

// Mute lets all datagrams from an address be lost, or none any more.
func (p *Post) Mute(address string, mute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted[address] = mute
}

// Deafen lets all datagrams to an address be lost, or none any more.
func (p *Post) Deafen(address string, deafen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deafened[address] = deafen
}

// Sent counts the datagrams that were sent from an address.
func (p *Post) Sent(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[address]
}

// Open binds an address.
func (p *Post) Open(address string) mtpulse.Socket {
	s := &socket{post: p, address: address, waiting: make(chan datagram, backlog)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sockets[address] = s
	return s
}

// Close closes the socket at an address: its process was killed, and sends nothing more even
// where its goroutines have not ended yet.
func (p *Post) Close(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sockets[address]; s != nil {
		s.closed = true
		delete(p.sockets, address)
	}
}

type datagram struct {
	from string
	data []byte
}

type socket struct {
	post    *Post
	address string
	waiting chan datagram
	closed  bool
}

func (s *socket) Address() string { return s.address }

func (s *socket) Send(to string, message proto.Message) (int, error) {
	data, err := mtpulse.Encode(message)
	if err != nil {
		return 0, err
	}
	s.post.mu.Lock()
	if s.closed {
		s.post.mu.Unlock()
		return 0, net.ErrClosed
	}
	s.post.sent[s.address]++
	receiver := s.post.sockets[to]
	lost := receiver == nil || s.post.deafened[to] || s.post.muted[s.address]
	s.post.mu.Unlock()
	if lost {
		return len(data), nil
	}
	select {
	case receiver.waiting <- datagram{s.address, data}:
	default:
	}
	return len(data), nil
}

func (s *socket) Serve(ctx context.Context, take func(from string, data []byte)) error {
	defer func() {
		s.post.mu.Lock()
		defer s.post.mu.Unlock()
		if s.post.sockets[s.address] == s {
			delete(s.post.sockets, s.address)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-s.waiting:
			take(d.from, d.data)
		}
	}
}
