package mtlist

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

// Times of following the platform's list.
//
// pollEvery is the mean time between two tries at a platform that is down: 420
// entries make 84 calls a second of the platform's two thousand. watchTime
// bounds one watch: a connection that went silent shows no error, and a watch
// on it would wait for ever; a new watch on a new connection goes on from the
// last version and costs 42 calls a second over 420 entries.
const (
	pollEvery = 5 * time.Second
	watchTime = 10 * time.Second

	// readTimeout bounds one read of the whole list, about a megabyte.
	readTimeout = 10 * time.Second
)

// Follow watches the platform's list until ctx ends and closes the channel it
// returns at the end.
func (l *List) Follow(ctx context.Context, client *mtplatform.Client) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		l.follow(ctx, client)
	}()
	return done
}

// Read takes the platform's whole list once.
func (l *List) Read(ctx context.Context, client *mtplatform.Client) error {
	_, err := l.read(ctx, client)
	return trace.Wrap(err)
}

func (l *List) read(ctx context.Context, client *mtplatform.Client) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, version, err := client.Instances(ctx)
	if err != nil {
		return "", trace.Wrap(err)
	}
	l.replace(members)
	return version, nil
}

func (l *List) follow(ctx context.Context, client *mtplatform.Client) {
	for {
		err := l.watch(ctx, client)
		if ctx.Err() != nil {
			return
		}
		l.log.Add(mtkind.WatchLost, &mustardtidev1.Event{Text: err.Error()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollEvery/2 + rand.N(pollEvery)):
		}
	}
}

// watch reads the list and follows its changes, one bounded watch after the
// other, until one fails.
func (l *List) watch(ctx context.Context, client *mtplatform.Client) error {
	version, err := l.read(ctx, client)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		if err := l.watchOnce(ctx, client, &version); err != nil {
			return trace.Wrap(err)
		}
	}
}

// watchOnce returns nil at the end of a bounded watch. That a watch with no
// event opened and lasted confirms the list as little as a silent connection
// would, so that only events and reads count for its age.
func (l *List) watchOnce(ctx context.Context, client *mtplatform.Client, version *string) error {
	bounded, cancel := context.WithTimeout(ctx, watchTime/2+rand.N(watchTime))
	defer cancel()
	err := client.WatchInstances(bounded, *version, func(name, at string, members []*mustardtidev1.Member) {
		*version = at
		l.change(name, members)
	})
	if bounded.Err() != nil && ctx.Err() == nil {
		return nil
	}
	return trace.Wrap(err)
}
