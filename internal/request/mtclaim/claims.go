// Package mtclaim keeps the claims of keys whose requests may not be repeated
// in the platform's object API.
//
// Keys hash to a fixed number of shards. Each shard has a home, the process
// that usually appends to it, which batches the claims of all; any process may
// append, and the platform's create-if-absent decides between them.
package mtclaim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtevent"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// Shards is the number of sequences. With gap it bounds the appends of the
// whole system to Shards/gap = 160 a second; deletes of packed segments come
// to as many at most. It can't be changed while keys are kept.
const Shards = 16

// idSize is the length of a claim's id.
const idSize = 16

// Retry-After of a refused claim: spread, so that callers don't return at one
// instant.
const (
	afterLeast  = time.Second
	afterSpread = 2 * time.Second
)

// store is the part of the platform's client that claims need.
type store interface {
	Get(ctx context.Context, name string) (mtrecord.Record, error)
	Create(ctx context.Context, name string, data []byte) (mtrecord.Record, error)
	Delete(ctx context.Context, old mtrecord.Record) error
	List(ctx context.Context, group string) ([]mtrecord.Record, string, error)
}

// Claims appends to any shard. It is safe for concurrent use.
type Claims struct {
	keepers [Shards]*keeper
}

// New returns claims that nobody has read yet.
func New(platform store, log *mtevent.Log) *Claims {
	c := &Claims{}
	for shard := range c.keepers {
		c.keepers[shard] = newKeeper(shard, platform, log)
	}
	return c
}

// ID names a key of an account and a service.
func ID(account, service, key string) []byte {
	h := sha256.New()
	for _, part := range []string{account, service, key} {
		_ = binary.Write(h, binary.BigEndian, uint32(len(part)))
		_, _ = h.Write([]byte(part))
	}
	return h.Sum(nil)[:idSize]
}

// ShardOf is the shard of an id.
func ShardOf(id []byte) int { return int(id[0]) % Shards }

// Follow appends what is asked for until ctx ends and reports its end on the
// channel it returns.
func (c *Claims) Follow(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ends := make(chan struct{})
	for _, k := range c.keepers {
		go func() {
			k.run(ctx)
			ends <- struct{}{}
		}()
	}
	go func() {
		for range c.keepers {
			<-ends
		}
		close(done)
	}()
	return done
}

// Claim returns the record that decides who may run a key: the given claim if
// the key had none. It fails with a refusal, at once, where the platform can't
// be written: the request may then not be run, though the claim may still be
// kept, now or later.
func (c *Claims) Claim(ctx context.Context, claim *mustardtidev1.Claim) (*mustardtidev1.Claim, error) {
	return c.keepers[ShardOf(claim.GetId())].claim(ctx, claim)
}

func refuse(cause string) error {
	return trace.Wrap(mtrefusal.New(mtcode.ClaimFailed, cause).WithRetryAfter(afterLeast + rand.N(afterSpread)))
}
