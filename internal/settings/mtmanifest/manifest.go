// Package mtmanifest keeps the accepted settings in the platform: one manifest
// object, conditionally updated, and content-addressed chunks that it names.
package mtmanifest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
)

// Names of the settings plane's objects.
const (
	Group       = "settings"
	recordName  = Group + ".manifest"
	chunkPrefix = "chunks."
)

// Manifest is one revision of the accepted settings with its chunks.
type Manifest struct {
	record mtrecord.Record
	head   *mustardtidev1.Manifest
	chunks map[string][]byte
}

// Empty is what stands before the first submit.
func Empty() *Manifest {
	return &Manifest{head: &mustardtidev1.Manifest{}, chunks: map[string][]byte{}}
}

// New joins a manifest and its chunks that came from a peer; it fails where a
// chunk is missing or has another digest.
func New(head *mustardtidev1.Manifest, chunks map[string][]byte) (*Manifest, error) {
	m := &Manifest{head: head, chunks: map[string][]byte{}}
	for _, file := range head.GetFiles() {
		text, ok := chunks[file.GetDigest()]
		if !ok || Digest(text) != file.GetDigest() {
			return nil, trace.BadParameter("chunk %s of %s is missing or broken", file.GetDigest(), file.GetName())
		}
		m.chunks[file.GetDigest()] = text
	}
	return m, nil
}

// Digest names a chunk by its text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Load reads the manifest in force; chunks that old has are not read again.
func Load(ctx context.Context, client *mtplatform.Client, old *Manifest) (*Manifest, error) {
	record, err := client.Get(ctx, recordName)
	if trace.IsNotFound(err) {
		return Empty(), nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	head := &mustardtidev1.Manifest{}
	if err := proto.Unmarshal(record.Data(), head); err != nil {
		return nil, trace.Wrap(err)
	}
	chunks := map[string][]byte{}
	for _, file := range head.GetFiles() {
		text, err := chunk(ctx, client, old, file.GetDigest())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		chunks[file.GetDigest()] = text
	}
	m, err := New(head, chunks)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.record = record
	return m, nil
}

// Save makes next the manifest in force if m still is. The chunks go first, so
// that a manifest never names one that is not there.
func (m *Manifest) Save(ctx context.Context, client *mtplatform.Client, next *Manifest) error {
	for digest, text := range next.chunks {
		if _, known := m.chunks[digest]; known {
			continue
		}
		_, err := client.Create(ctx, chunkPrefix+digest, text)
		if err != nil && !trace.IsAlreadyExists(err) {
			return trace.Wrap(err)
		}
	}
	data, err := proto.Marshal(next.head)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.record.Version() == "" {
		_, err = client.Create(ctx, recordName, data)
	} else {
		_, err = client.Update(ctx, m.record, data)
	}
	return trace.Wrap(err)
}

// Head is the manifest's message; the caller must not change it.
func (m *Manifest) Head() *mustardtidev1.Manifest { return m.head }

// Revision counts the accepted submits; 0 before the first.
func (m *Manifest) Revision() uint64 { return m.head.GetRevision() }

// Text returns the text of a file: "base" or a data centre; nil if none.
func (m *Manifest) Text(name string) []byte {
	for _, file := range m.head.GetFiles() {
		if file.GetName() == name {
			return m.chunks[file.GetDigest()]
		}
	}
	return nil
}

// Chunk returns the text of a digest, or nil.
func (m *Manifest) Chunk(digest string) []byte { return m.chunks[digest] }

func chunk(ctx context.Context, client *mtplatform.Client, old *Manifest, digest string) ([]byte, error) {
	if old != nil && old.chunks[digest] != nil {
		return old.chunks[digest], nil
	}
	record, err := client.Get(ctx, chunkPrefix+digest)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return record.Data(), nil
}
