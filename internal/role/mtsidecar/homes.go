package mtsidecar

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/xxh3"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
)

const (
	// homeTimeout bounds the word of a shard's home: a batch takes a tenth of
	// a second, and a home that is gone must not cost more than a few.
	homeTimeout = 500 * time.Millisecond
	// suspectFor is how long a home that did not answer is passed over; the
	// list of instances catches up meanwhile.
	suspectFor = 10 * time.Second
	// homeMargin is a round trip between data centres with room to spare.
	homeMargin = 50 * time.Millisecond
)

// errSlowHome is a home whose batch outlasted homeTimeout.
var errSlowHome = errors.New("the shard's home took too long")

// homes finds the home of a shard and asks it.
type homes struct {
	transport *http.Transport
	scheme    string

	mu       sync.Mutex
	suspects map[string]time.Time
}

func newHomes(transport *http.Transport, scheme string) *homes {
	return &homes{transport: transport, scheme: scheme, suspects: map[string]time.Time{}}
}

// choose returns the shard's home: rendezvous over the live sidecars. It is a
// hint only; several processes may take themselves for the home.
func (h *homes) choose(shard int, members []*mustardtidev1.Member) *mustardtidev1.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	live := slices.DeleteFunc(slices.Clone(members), func(m *mustardtidev1.Member) bool {
		return m.GetRole() != "sidecar" || m.GetLeaving() || now.Before(h.suspects[m.GetAddress()])
	})
	if len(live) == 0 {
		return nil
	}
	rank := func(m *mustardtidev1.Member) uint64 { return xxh3.HashString(strconv.Itoa(shard) + " " + m.GetName()) }
	return slices.MaxFunc(live, func(a, b *mustardtidev1.Member) int { return cmp.Compare(rank(a), rank(b)) })
}

func (h *homes) ask(ctx context.Context, address string, ask *mustardtidev1.ClaimRequest) (*mustardtidev1.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	start := time.Now()
	client := mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: h.transport}, h.scheme+"://"+address)
	reply, err := client.Claim(ctx, connect.NewRequest(ask))
	if err != nil {
		h.mu.Lock()
		h.suspects[address] = time.Now().Add(suspectFor)
		h.mu.Unlock()
		// The connection may have gone silent; the next call takes another.
		h.transport.CloseIdleConnections()
		return nil, err
	}
	// The home gives up at the same moment as its asker. Which of the two is
	// first must not decide whether the asker appends by itself.
	if reply.Msg.GetRefusal() != nil && time.Since(start) > homeTimeout-homeMargin {
		return nil, errSlowHome
	}
	return reply.Msg, nil
}

func (h *homes) close() { h.transport.CloseIdleConnections() }
