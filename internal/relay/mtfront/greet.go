package mtfront

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

// greetRate bounds the greetings that an entry sends in a second: with their
// answers about 400 bytes each, 24 KB a second. In a larger fleet each sidecar
// hears from an entry less often.
const greetRate = 60

// greet says hello to every sidecar now and then, and at once where new weights
// were named.
func (f *Front) greet(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		count := f.helloAll(round%farRounds == 0)
		pause := max(greetTime, time.Duration(count)*time.Second/greetRate)
		select {
		case <-ctx.Done():
		case <-f.wake:
			round = -1
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// farRounds is how many rounds of greetings pass between two to other data
// centres, which are seldom chosen and whose bytes are dear.
const farRounds = 3

// helloAll greets the sidecars of the data centre's engines, or of all, and
// returns how many that were.
func (f *Front) helloAll(far bool) int {
	named := f.board.Named()
	view := f.roster.View()
	count := 0
	catalog := f.catalog.Load()
	if catalog == nil {
		return 0
	}
	for _, service := range catalog.Source().GetServices() {
		if service.GetModel() == "" {
			continue
		}
		turns := f.board.Turns(service)
		speed := f.board.Speed(service.GetName())
		for _, engine := range view.Service(service.GetName()) {
			if view.Replaced(engine) || !far && engine.GetDatacentre() != f.site.GetDatacentre() {
				continue
			}
			hello := &fleetv1.Hello{
				Entry:   f.site.GetName(),
				Target:  engine.GetId(),
				Weights: named,
				Turn:    turns.Of(engine.GetId()),
				Asks:    speed == nil,
			}
			if far {
				hello.Speed = speed
			}
			f.board.Fill(hello)
			f.hello(mtports.SidecarWords.At(f.site, engine.GetAddress()), hello)
			count++
		}
	}
	return count
}

// burden tells a sidecar that the entry has given its engine much to read, or
// that it was read; the other entries hear of it from the sidecar.
func (f *Front) burden(target, address string) {
	hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: target}
	f.board.Fill(hello)
	f.hello(mtports.SidecarWords.At(f.site, address), hello)
}

// hello sends one; a lost one is made up for by the next.
func (f *Front) hello(to string, hello *fleetv1.Hello) {
	if err := f.socket.Send(to, hello); err != nil {
		f.trail.Metrics().Add("hello_send_failures_total", 1)
	}
}

// hear takes in a datagram.
func (f *Front) hear(from string, data []byte) {
	word := &fleetv1.Word{}
	if err := proto.Unmarshal(data, word); err != nil {
		f.trail.Metrics().Add("datagrams_unreadable_total", 1)
		return
	}
	switch w := word.GetWord().(type) {
	case *fleetv1.Word_State:
		f.hearState(from, w.State)
	case *fleetv1.Word_Notice:
		f.board.Notice(w.Notice)
	case *fleetv1.Word_Digest:
		f.hearDigest(from, w.Digest)
	}
}

// hearState takes in a sidecar's state.
func (f *Front) hearState(from string, state *fleetv1.State) {
	f.board.Hear(state)
	f.peers.see(state.GetPeers(), f.socket.Address())
	if state.GetMore() {
		hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: state.GetTarget()}
		f.board.Fill(hello)
		f.hello(from, hello)
	}
	f.adopt(state.GetSpeed(), "sidecar of "+state.GetTarget())
	// The store may be out of this entry's reach, and not of another's.
	for _, w := range state.GetNamed() {
		f.named(w, "sidecar of "+state.GetTarget())
	}
}
