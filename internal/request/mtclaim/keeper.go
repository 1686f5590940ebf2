package mtclaim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/request/mtshard"
)

// Times and sizes of batches.
const (
	// window is how long a first claim waits for company: a burst arrives
	// within it, and it is small beside the platform's milliseconds.
	window = 4 * time.Millisecond
	// gap is the least time between two appends to one shard.
	gap = 100 * time.Millisecond
	// maxBatch claims of about 120 bytes stay under half an object.
	maxBatch = 4000
	// batchTimeout bounds one batch. The platform answers in milliseconds; at
	// a hundred times that, three writers of a shard that meet each other in
	// every number still end within it.
	batchTimeout = 4 * time.Second
	// retryEvery is the mean time between two tries at a platform that fails;
	// claims in between are refused at once.
	retryEvery = time.Second
	// maxKeys bounds a shard's memory at its home: 34 MB at 169 bytes a key
	// (BenchmarkLoad), 3.2 million live keys over all shards. What is above is
	// refused; a live key is never dropped.
	maxKeys = 200_000
	// purgeEvery is the time between two walks over all keys of a shard.
	purgeEvery = time.Minute
)

// ask is one claim that waits for its record.
type ask struct {
	ctx   context.Context
	claim *mustardtidev1.Claim
	reply chan error
}

// keeper owns one shard in this process.
type keeper struct {
	shard int
	store store
	log   *mtevent.Log
	asks  chan *ask

	mu      sync.Mutex
	core    *mtshard.Shard
	failing bool
	retryAt time.Time

	appended time.Time
	purged   time.Time
	doomed   []doomed
}

func newKeeper(shard int, platform store, log *mtevent.Log) *keeper {
	return &keeper{shard: shard, store: platform, log: log, asks: make(chan *ask, maxBatch), core: mtshard.New()}
}

func (k *keeper) run(ctx context.Context) {
	var tidy <-chan time.Time
	for {
		select {
		case first := <-k.asks:
			k.serve(ctx, k.collect(ctx, first))
			if tidy == nil {
				tidy = time.After(k.tidyPause())
			}
		case <-tidy:
			tidy = nil
			if k.tidy(ctx) {
				tidy = time.After(k.tidyPause())
			}
		case <-ctx.Done():
			return
		}
	}
}

// claim waits for the record of one key.
func (k *keeper) claim(ctx context.Context, claim *mustardtidev1.Claim) (*mustardtidev1.Claim, error) {
	held, cause := k.enter(claim.GetId())
	if held != nil {
		return held, nil
	}
	if cause != "" {
		return nil, refuse(cause)
	}
	a := &ask{ctx: ctx, claim: claim, reply: make(chan error, 1)}
	select {
	case k.asks <- a:
	default:
		return nil, refuse("too many claims wait")
	}
	select {
	case err := <-a.reply:
		if err != nil {
			return nil, err
		}
		held = k.known(claim.GetId())
		if held == nil || !time.Now().Before(held.GetUntil().AsTime()) {
			return nil, refuse("the claim took too long")
		}
		return held, nil
	case <-ctx.Done():
		return nil, refuse("the claim took too long")
	}
}

// enter looks a key up and says why a claim of it is refused now, if it is.
// While the platform fails, one claim after each pause tries it again.
func (k *keeper) enter(id []byte) (held *mustardtidev1.Claim, cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	held = k.core.Find(id, now)
	switch {
	case held != nil:
		return held, ""
	case k.core.Keys() >= maxKeys:
		return nil, "the shard holds as many keys as it may"
	case !k.failing:
		return nil, ""
	case now.Before(k.retryAt):
		return nil, "the platform can't be written"
	}
	k.retryAt = now.Add(batchTimeout)
	return nil, ""
}

func (k *keeper) known(id []byte) *mustardtidev1.Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.Find(id, time.Now())
}

// collect gathers a batch: the window, or what is left of the gap.
func (k *keeper) collect(ctx context.Context, first *ask) []*ask {
	batch := []*ask{first}
	wait := max(window, gap-time.Since(k.appended))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case next := <-k.asks:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// serve brings a batch's claims to the platform and answers them.
func (k *keeper) serve(ctx context.Context, batch []*ask) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	k.appended = time.Now()
	err := k.settle(ctx, wanted(batch))
	k.mark(err)
	k.purge()
	for _, a := range batch {
		if err != nil {
			a.reply <- refuse(err.Error())
			continue
		}
		a.reply <- nil
	}
}

// wanted leaves out the claims whose askers have given up.
func wanted(batch []*ask) []*mustardtidev1.Claim {
	claims := make([]*mustardtidev1.Claim, 0, len(batch))
	for _, a := range batch {
		if a.ctx.Err() == nil {
			claims = append(claims, a.claim)
		}
	}
	return claims
}

func (k *keeper) mark(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = err != nil
	if err != nil {
		k.retryAt = time.Now().Add(retryEvery/2 + rand.N(retryEvery))
		k.note(mtkind.ClaimFailed, err.Error())
	}
}

// purge forgets expired keys now and then.
func (k *keeper) purge() {
	if time.Since(k.purged) < purgeEvery {
		return
	}
	k.purged = time.Now()
	k.locked(func() { k.core.Purge(k.purged) })
}

func (k *keeper) note(kind mtkind.Kind, text string) {
	k.log.Add(kind, &mustardtidev1.Event{Text: fmt.Sprintf("shard %d: %s", k.shard, text)})
}
