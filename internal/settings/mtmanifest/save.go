package mtmanifest

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

// Times of a submit. settleTime bounds the tries to settle a write whose
// answer was lost: an operator waits for it, and a store that is away for
// longer has an outage, which the operator is told of. writers bounds the
// chunks written at once: a first submit of 12,000 accounts writes about 400,
// and the platform takes several hundred writes a second.
const (
	settleTime = 15 * time.Second
	settleWait = 200 * time.Millisecond
	// callTime bounds one call: a connection that went silent shows no error,
	// and the next call goes over a new one.
	callTime = 4 * time.Second
	writers  = 8
	maxChunk = mtplatform.MaxValue * 3 / 4
)

// Save makes next the manifest in force if m still is. The chunks go first, so
// that a manifest never names one that is not there. Its errors:
//
//   - trace.CompareFailed: another submit came first; nothing took effect.
//   - trace.ConnectionProblem: the platform did not say whether the submit took
//     effect, and it can't be settled now.
//   - trace.NotFound: the platform could not take the chunks; nothing took
//     effect.
//   - trace.LimitExceeded: a piece is larger than an object may be.
func (m *Manifest) Save(ctx context.Context, client *mtplatform.Client, next *Manifest) error {
	data, err := proto.Marshal(next.head)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := next.fits(data); err != nil {
		return trace.Wrap(err)
	}
	deadline, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if err := m.write(deadline, client, next); err != nil {
		return trace.NotFound("the chunks could not be written: %v", trace.UserMessage(err))
	}
	return m.settle(deadline, client, next, data)
}

func (m *Manifest) fits(data []byte) error {
	if len(data) > maxChunk {
		return trace.LimitExceeded("the manifest has %d bytes", len(data))
	}
	for digest, text := range m.chunks {
		if len(text) > maxChunk {
			return trace.LimitExceeded("piece %s has %d bytes, more than %d; its entries can't be told apart", digest, len(text), maxChunk)
		}
	}
	return nil
}

// settle writes the manifest until the platform's word on it is known. The
// write is conditional on m's version, so that trying again is safe: it takes
// effect once, and once another's has, ours, however late it arrives, can't.
func (m *Manifest) settle(ctx context.Context, client *mtplatform.Client, next *Manifest, data []byte) error {
	for {
		err := m.replace(ctx, client, data)
		switch {
		case err == nil:
			return nil
		case trace.IsCompareFailed(err), trace.IsAlreadyExists(err), trace.IsNotFound(err), trace.IsConnectionProblem(err):
			now, readErr := headWithin(ctx, client)
			if readErr == nil && now.record.Version() != m.record.Version() {
				return settled(now, next)
			}
		case !trace.IsLimitExceeded(err):
			return trace.Wrap(err)
		}
		if !pause(ctx) {
			return trace.ConnectionProblem(err, "the platform did not say whether submission %s took effect", next.head.GetSubmission())
		}
	}
}

func headWithin(ctx context.Context, client *mtplatform.Client) (*Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return Head(ctx, client)
}

func (m *Manifest) replace(ctx context.Context, client *mtplatform.Client, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var err error
	if m.record.Version() == "" {
		_, err = client.Create(ctx, recordName, data)
	} else {
		_, err = client.Update(ctx, m.record, data)
	}
	return trace.Wrap(err)
}

// settled tells from the manifest that followed m who won: this submission,
// perhaps with others after it, or another one. While m itself is in force
// nothing is settled: a write under way may still take effect.
func settled(now, next *Manifest) error {
	mine := next.head.GetSubmission()
	switch {
	case now.head.GetSubmission() == mine, slices.Contains(now.head.GetRecent(), mine):
		return nil
	case now.Revision() > next.Revision()+maxRecent:
		return trace.ConnectionProblem(nil, "too many submits came after %s to tell whether it took effect", mine)
	default:
		return trace.CompareFailed("revision %d came first", now.Revision())
	}
}

// write puts the chunks that m does not have into the platform.
func (m *Manifest) write(ctx context.Context, client *mtplatform.Client, next *Manifest) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(writers)
	for digest, text := range next.chunks {
		if _, known := m.chunks[digest]; known {
			continue
		}
		group.Go(func() error { return writeChunk(ctx, client, digest, text) })
	}
	return group.Wait()
}

// writeChunk creates a chunk. One that exists may be retired and about to be
// removed: writing it again changes its version, which the removal names.
func writeChunk(ctx context.Context, client *mtplatform.Client, digest string, text []byte) error {
	var found string
	for {
		err := createChunk(ctx, client, digest, text)
		if trace.IsAlreadyExists(err) || trace.IsConnectionProblem(err) {
			err = renew(ctx, client, digest, text, &found)
		}
		if err == nil {
			return nil
		}
		if trace.IsBadParameter(err) || !pause(ctx) {
			return trace.Wrap(err)
		}
	}
}

func createChunk(ctx context.Context, client *mtplatform.Client, digest string, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	_, err := client.Create(ctx, chunkPrefix+digest, text)
	return trace.Wrap(err)
}

// renew gives a chunk a version above the one found first. A write whose
// answer was lost is seen by its version, so that it is not repeated for ever.
func renew(ctx context.Context, client *mtplatform.Client, digest string, text []byte, found *string) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	old, err := client.Get(ctx, chunkPrefix+digest)
	if err != nil {
		return trace.Wrap(err)
	}
	if *found != "" && old.Version() != *found {
		return nil
	}
	*found = old.Version()
	_, err = client.Update(ctx, old, text)
	return trace.Wrap(err)
}

// pause waits before the next try; it is false where the time is over.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(settleWait/2 + rand.N(settleWait)):
		return true
	}
}
