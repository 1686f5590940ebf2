package mtentry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
)

const (
	// ackEvery is the payload after which a run is acknowledged while it goes
	// on: a quarter of what a sidecar keeps, so that its target need not wait.
	ackEvery = 256 << 10
	// ackDelay gathers the acknowledgements of ended runs into one call.
	ackDelay = 100 * time.Millisecond
	// tailTimeout bounds calls in the background that no caller waits for.
	tailTimeout = 2 * time.Second
)

// markKey names one attempt of a request.
type markKey struct {
	run     string
	attempt uint32
}

// acks gathers what one sidecar may forget and tells it in batches.
type acks struct {
	sidecar mustardtidev1connect.SidecarServiceClient
	peer    func() *mustardtidev1.Peer
	tail    *sync.WaitGroup

	mu      sync.Mutex
	marks   map[markKey]*mustardtidev1.Mark
	sending bool
	urgent  chan struct{}
}

func newAcks(sidecar mustardtidev1connect.SidecarServiceClient, peer func() *mustardtidev1.Peer, tail *sync.WaitGroup) *acks {
	return &acks{sidecar: sidecar, peer: peer, tail: tail, marks: map[markKey]*mustardtidev1.Mark{}, urgent: make(chan struct{}, 1)}
}

// add notes how much of a run has been received. The mark of a run that goes
// on is sent at once, since its target may be waiting for room.
func (a *acks) add(mark *mustardtidev1.Mark) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.marks[markKey{run: mark.GetRun(), attempt: mark.GetAttempt()}] = mark
	if !mark.GetDone() {
		select {
		case a.urgent <- struct{}{}:
		default:
		}
	}
	if !a.sending {
		a.sending = true
		a.tail.Go(a.send)
	}
}

// send sends batches until there is nothing to send. A batch that fails is
// not sent again: a live run is acknowledged anew at its next heartbeat, and
// an ended one is forgotten by time.
func (a *acks) send() {
	for {
		select {
		case <-time.After(ackDelay):
		case <-a.urgent:
		}
		marks := a.take()
		if marks == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), tailTimeout)
		_, _ = a.sidecar.Ack(ctx, connect.NewRequest(&mustardtidev1.AckRequest{Peer: a.peer(), Marks: marks}))
		cancel()
	}
}

func (a *acks) take() []*mustardtidev1.Mark {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.marks) == 0 {
		a.sending = false
		return nil
	}
	marks := make([]*mustardtidev1.Mark, 0, len(a.marks))
	for _, mark := range a.marks {
		marks = append(marks, mark)
	}
	clear(a.marks)
	return marks
}
