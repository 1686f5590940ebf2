package mtmanifest

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// Retired chunks stay for keepRetired: a process that read the manifest before
// them may still fetch them, at most within a fetch's time-out of seconds. A
// submit removes at most sweepMost lists, twice what it adds, so that the
// number of chunks follows the number of changes of an hour.
const (
	retiredGroup = "retired"
	keepRetired  = time.Hour
	sweepMost    = 2
)

// Retire lists the chunks that next, which is in force after m, no longer
// names, and removes those retired long ago. A submitter that stops before
// this call leaves a few chunks for ever, and nothing else.
//
// A removal names the version that its chunk had when it was retired. A later
// submit that names the chunk again renews it first, which changes the version
// (writeChunk), so that a chunk which a manifest in use names is never removed.
func (m *Manifest) Retire(ctx context.Context, client *mtplatform.Client, next *Manifest) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	list := &mustardtidev1.Retired{Time: timestamppb.New(time.Now())}
	for _, digest := range m.dropped(next) {
		raw, err := hex.DecodeString(digest)
		if err != nil || m.versions[digest] == "" {
			continue
		}
		list.Chunks = append(list.Chunks, &mustardtidev1.Stale{Digest: raw, Version: m.versions[digest]})
	}
	if len(list.GetChunks()) > 0 {
		data, err := proto.Marshal(list)
		if err != nil {
			return trace.Wrap(err)
		}
		name := fmt.Sprintf("%s.%020d", retiredGroup, next.Revision())
		if _, err := client.Create(ctx, name, data); err != nil && !trace.IsAlreadyExists(err) {
			return trace.Wrap(err)
		}
	}
	return sweep(ctx, client)
}

// sweep removes the chunks of the oldest lists that are old enough.
func sweep(ctx context.Context, client *mtplatform.Client) error {
	records, _, err := client.List(ctx, retiredGroup)
	if err != nil {
		return trace.Wrap(err)
	}
	for i, record := range records {
		if i == sweepMost {
			break
		}
		if err := sweepList(ctx, client, record); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func sweepList(ctx context.Context, client *mtplatform.Client, record mtrecord.Record) error {
	list := &mustardtidev1.Retired{}
	if err := proto.Unmarshal(record.Data(), list); err != nil {
		return trace.Wrap(err)
	}
	if time.Since(list.GetTime().AsTime()) < keepRetired {
		return nil
	}
	for _, chunk := range list.GetChunks() {
		stale := mtrecord.New(chunkPrefix+hex.EncodeToString(chunk.GetDigest()), chunk.GetVersion(), nil)
		err := client.Delete(ctx, stale)
		if err != nil && !trace.IsNotFound(err) && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	err := client.Delete(ctx, record)
	if trace.IsNotFound(err) || trace.IsCompareFailed(err) {
		return nil
	}
	return trace.Wrap(err)
}
