package mtfront

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtcustody"
	"github.com/mustardtide/mustardtide/internal/relay/mtprobe"
	"github.com/mustardtide/mustardtide/internal/relay/mtstandby"
)

const (
	// standbyTime is how often an entry looks after engines without sidecars.
	standbyTime = 250 * time.Millisecond
	// roleTime is how often an entry looks whether it should follow the custody.
	roleTime = time.Second
	// goneTime is how long a sidecar must not have spoken to count as gone: long beside
	// its restart and the greetings of a large fleet, as an engine that is taken needs
	// none of its orders for seconds.
	goneTime = 5 * time.Second
	// doubtTime is how long it must not have spoken to be greeted at each look.
	doubtTime = 3 * time.Second
	// holderTime is how long after its last word another holder counts as live: two of
	// its words to all.
	holderTime = 2500 * time.Millisecond
	// spokeTime is how long its last word counts as heard just now.
	spokeTime = time.Second
	// defaultLease standbys for the time in which two instances must not order one engine
	// where the settings name none.
	defaultLease = 3 * time.Second
)

// standbys are the entry's part in the orders of engines whose sidecars are gone.
type standbys struct {
	front *Front

	mu      sync.Mutex
	custody *mtcustody.Custody
	// writing lets one call to the store that changes the custody follow another.
	writing sync.Mutex
	running map[string]*running
	// queues are the services' queues of loads, for all standbys at once, as arranged
	// at a time.
	queues   map[string]*mtboard.Queues
	arranged time.Time
}

// running is one engine's standby, and the channel on which its end is told.
type running struct {
	cancel context.CancelFunc
	end    chan error
}

func newStandbys(f *Front) *standbys {
	lease := f.site.GetBounds().GetLease().AsDuration()
	if lease <= 0 {
		lease = defaultLease
	}
	return &standbys{front: f, custody: mtcustody.New(f.site.GetName(), f.socket.Address(), lease), running: map[string]*running{}, queues: map[string]*mtboard.Queues{}}
}

// run looks after engines without sidecars until ctx ends.
func (s *standbys) run(ctx context.Context) error {
	defer func() {
		for id, one := range s.running {
			s.stop(id, one)
		}
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(standbyTime):
		}
		if s.front.catalog.Load() == nil || ctx.Err() != nil {
			continue
		}
		s.next(ctx)
		s.manage(ctx)
	}
	return ctx.Err()
}

// address is a target's; empty where it is not listed.
func (s *standbys) address(target string) string {
	return s.front.roster.View().Target(target).GetAddress()
}

// next takes engines, or gives them back.
func (s *standbys) next(ctx context.Context) {
	v := s.view()
	if v.First {
		s.doubt()
	}
	s.mu.Lock()
	step := s.custody.Next(v)
	s.mu.Unlock()
	switch step.(type) {
	case mtcustody.Rest:
	case mtcustody.Read:
		s.read(ctx)
	case mtcustody.Write:
		s.write(ctx, func() mtcustody.Step { return s.custody.Next(v) })
	}
}

// doubt greets the sidecars that have not spoken for a while: in a large fleet those of
// other data centres are greeted seldom, and a few datagrams that were lost must not
// take their engines from them.
func (s *standbys) doubt() {
	f := s.front
	for _, target := range f.board.MissingHeartbeat(doubtTime) {
		s.mu.Lock()
		taken := s.custody.Charge(target.GetAddress()).GetTaken()
		s.mu.Unlock()
		if !taken {
			f.burden(target.GetId(), target.GetAddress())
		}
	}
}

// view is what the entry sees of sidecars and other entries.
func (s *standbys) view() *mtcustody.View {
	f := s.front
	live := f.peers.heard(holderTime)
	listed := f.roster.View()
	var gone []string
	for _, target := range f.board.MissingHeartbeat(goneTime) {
		gone = append(gone, target.GetAddress())
	}
	return &mtcustody.View{
		Gone:   gone,
		Heard:  func(address string) bool { return f.board.SinceHeartbeat(address) < spokeTime },
		Listed: listed.Listed,
		First:  f.first(),
		Live:   func(entry string) bool { return live[entry] },
	}
}

func (s *standbys) read(ctx context.Context) {
	custody, revision, err := s.front.store.Custody(ctx)
	if err != nil {
		s.front.trail.Warn(mtkind.StoreLost, zap.String("kind", "custody"), zap.Error(err))
		return
	}
	s.mu.Lock()
	news := s.custody.Seen(custody, revision)
	s.mu.Unlock()
	if news && custody != nil {
		s.told(custody, "store")
	}
}

// write carries out a write that is decided once none other is under way. It reports
// whether it succeeded.
func (s *standbys) write(ctx context.Context, decide func() mtcustody.Step) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	step, ok := decide().(mtcustody.Write)
	before := s.custody.Known().GetVersion()
	s.mu.Unlock()
	if !ok {
		return false
	}
	began := time.Now()
	revision, err := s.front.store.PutCustody(ctx, step.Custody, step.Revision)
	s.mu.Lock()
	if err != nil {
		s.custody.Failed()
	} else {
		s.custody.Wrote(step.Custody, revision, began)
	}
	s.mu.Unlock()
	switch {
	case trace.IsCompareFailed(err):
		s.read(ctx)
	case err != nil:
		s.front.trail.Warn(mtkind.StoreLost, zap.String("kind", "custody"), zap.Error(err))
	case step.Custody.GetVersion() != before:
		s.told(step.Custody, "own write")
		s.front.alarm()
	}
	return err == nil
}

// manage runs a standby for each engine that is this entry's to order.
func (s *standbys) manage(ctx context.Context) {
	f := s.front
	view := f.roster.View()
	wanted := map[string]bool{}
	for _, target := range view.All() {
		wanted[target.GetId()] = s.May(target.GetId()) && !view.Replaced(target)
	}
	for id, one := range maps.Clone(s.running) {
		if !wanted[id] {
			s.stop(id, one)
			delete(s.running, id)
			f.trail.Say(mtkind.EngineReturned, zap.String("target", id))
		}
	}
	for id, want := range wanted {
		if want && s.running[id] == nil {
			s.running[id] = s.start(ctx, view.Target(id))
			f.trail.Say(mtkind.EngineTaken, zap.String("target", id), zap.Int64("custody", s.known().GetVersion()))
		}
	}
}

func (s *standbys) start(ctx context.Context, target *fleetv1.Target) *running {
	f := s.front
	probe := mtprobe.New(target.GetAddress(), f.network.Dial)
	standby := mtstandby.New(target, f.site.GetName(), f.site.GetBounds().GetWeights().AsDuration(), s, probe, f.trail)
	ctx, cancel := context.WithCancel(ctx)
	one := &running{cancel: cancel, end: make(chan error, 1)}
	go func() { one.end <- standby.Run(ctx) }()
	return one
}

// stop ends an engine's standby.
func (s *standbys) stop(id string, one *running) {
	one.cancel()
	if err := <-one.end; err != nil && !errors.Is(err, context.Canceled) {
		s.front.trail.Warn(mtkind.EngineReturned, zap.String("target", id), zap.Error(err))
	}
}
