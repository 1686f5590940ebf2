package mtcredit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
)

const (
	// callTime bounds one call with its second try. An allocator that takes longer is
	// left.
	callTime = 400 * time.Millisecond
	// tries is how often a call is made: a connection may have ended while it was idle.
	tries = 2
	// probeTime is how often an entry that did not answer is asked again.
	probeTime = time.Second
	// roleEntry is an entry's role in the list of instances.
	roleEntry = "entry"
)

// others are the other entries of one state of the list.
type others struct {
	hash uint64
	// live are all of them, serving those that are not about to end.
	live, serving []string
}

// Follow draws credit ahead of need until ctx ends. The channel gives its end.
func (c *Credit) Follow(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		c.follow(ctx)
		done <- nil
	}()
	return done
}

func (c *Credit) follow(ctx context.Context) {
	var calls sync.WaitGroup
	defer func() {
		calls.Wait()
		c.transport.CloseIdleConnections()
	}()
	ticks, probes := time.NewTicker(mtquota.TickInterval), time.NewTicker(probeTime)
	defer ticks.Stop()
	defer probes.Stop()
	known := &others{}
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.asked:
			c.send(ctx, &calls, message.To(), message.Draw())
		case <-probes.C:
			for _, name := range c.lines.silentOnes(func(name string) bool { return c.list.Find(name) != nil }) {
				c.send(ctx, &calls, name, nil)
			}
		case <-ticks.C:
			known = c.others(known)
			for _, message := range c.tick(known) {
				if message.To() == c.name {
					c.drawHere(message)
				} else {
					c.send(ctx, &calls, message.To(), message.Draw())
				}
			}
		}
	}
}

// others brings the other entries up to the list.
func (c *Credit) others(before *others) *others {
	hash := c.list.Hash()
	if hash == before.hash {
		return before
	}
	now := &others{hash: hash}
	for _, m := range c.list.All() {
		if m.GetRole() != roleEntry || m.GetName() == c.name {
			continue
		}
		now.live = append(now.live, m.GetName())
		if !m.GetLeaving() {
			now.serving = append(now.serving, m.GetName())
		}
	}
	return now
}

// tick returns the draws that are due. An entry that knows neither the accounts nor the
// others lends nothing yet.
func (c *Credit) tick(known *others) []mtquota.Message {
	limited := len(c.accounts())
	if limited == 0 || !c.list.Known() {
		return nil
	}
	var answering []string
	for _, name := range known.serving {
		if !c.lines.isSilent(name) {
			answering = append(answering, name)
		}
	}
	c.quota.SetStoredSize(len(known.live) + 1)
	return c.quota.Tick(limited, answering, known.live)
}

// send takes a draw, nil for a mere question, to another entry.
func (c *Credit) send(ctx context.Context, calls *sync.WaitGroup, name string, draw *fleetv1.Draw) {
	if !c.lines.put(name, draw) {
		return
	}
	calls.Go(func() {
		for c.lines.next(name, c.call(ctx, name, c.lines.take(name))) {
		}
	})
}

// call takes draws to another entry and says whether it has answered.
func (c *Credit) call(ctx context.Context, name string, draws []*fleetv1.Draw) bool {
	member := c.list.Find(name)
	if member == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	client := mustardtidev1connect.NewQuotaServiceClient(&http.Client{Transport: c.transport}, c.scheme+"://"+member.GetAddress(), connect.WithInterceptors(c.control.Interceptor()))
	for range tries {
		ask := &mustardtidev1.DrawRequest{Peer: c.control.Peer(), Draws: draws, Entries: uint32(c.quota.ObservedSize())}
		reply, err := client.Draw(bounded, connect.NewRequest(ask))
		if err == nil {
			c.take(name, reply.Msg)
			return true
		}
		// A connection that went silent would take the next call as well.
		c.transport.CloseIdleConnections()
		if bounded.Err() != nil {
			break
		}
	}
	return false
}

// take takes in an answer.
func (c *Credit) take(name string, reply *mustardtidev1.DrawReply) {
	c.quota.SetPeerSize(int(reply.GetEntries()))
	for _, grant := range reply.GetGrants() {
		c.quota.Receive(name, grant)
	}
}
