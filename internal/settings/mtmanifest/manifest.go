// Package mtmanifest keeps the accepted settings in the platform: one manifest
// object, conditionally updated, and content-addressed chunks that it names.
package mtmanifest

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/outside/mtrecord"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
)

// Names of the settings plane's objects. A watch of Group sees the manifest
// alone.
const (
	Group       = "settings"
	recordName  = Group + ".manifest"
	chunkPrefix = "chunks."
)

// Manifest is one revision of the accepted settings with its chunks. It is
// filled first, from peers or the platform, and immutable from then on.
type Manifest struct {
	record   mtrecord.Record
	head     *mustardtidev1.Manifest
	chunks   map[string][]byte
	versions map[string]string
}

// Empty is what stands before the first submit.
func Empty() *Manifest { return New(&mustardtidev1.Manifest{}) }

// New returns a manifest without chunks, as a peer sends it.
func New(head *mustardtidev1.Manifest) *Manifest {
	return &Manifest{head: head, chunks: map[string][]byte{}, versions: map[string]string{}}
}

// Parse returns the manifest of a platform object, without chunks.
func Parse(record mtrecord.Record) (*Manifest, error) {
	head := &mustardtidev1.Manifest{}
	if err := proto.Unmarshal(record.Data(), head); err != nil {
		return nil, trace.Wrap(err)
	}
	m := New(head)
	m.record = record
	return m, nil
}

// Head reads the manifest in force without its chunks: one call.
func Head(ctx context.Context, client *mtplatform.Client) (*Manifest, error) {
	record, err := client.Get(ctx, recordName)
	if trace.IsNotFound(err) {
		return Empty(), nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Parse(record)
}

// Load reads the manifest in force; chunks that old has are not read again.
func Load(ctx context.Context, client *mtplatform.Client, old *Manifest) (*Manifest, error) {
	m, err := Head(ctx, client)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if old != nil {
		m.Fill(old.chunks)
	}
	return m, m.Fetch(ctx, client)
}

// Missing lists the digests of the chunks that the manifest names and does not
// have yet.
func (m *Manifest) Missing() []string {
	var missing []string
	for digest := range m.named() {
		if _, has := m.chunks[digest]; !has {
			missing = append(missing, digest)
		}
	}
	slices.Sort(missing)
	return missing
}

// Fill takes the chunks that the manifest names and whose text has the digest;
// what a peer sends is not believed without it.
func (m *Manifest) Fill(chunks map[string][]byte) {
	for digest := range m.named() {
		if text, ok := chunks[digest]; ok && m.chunks[digest] == nil && mtpiece.Digest(text) == digest {
			m.chunks[digest] = text
		}
	}
}

// Fetch reads the missing chunks from the platform, one call each.
func (m *Manifest) Fetch(ctx context.Context, client *mtplatform.Client) error {
	for _, digest := range m.Missing() {
		record, err := client.Get(ctx, chunkPrefix+digest)
		if err != nil {
			return trace.Wrap(err)
		}
		if mtpiece.Digest(record.Data()) != digest {
			return trace.BadParameter("chunk %s has another text than its digest", digest)
		}
		m.chunks[digest] = record.Data()
		m.versions[digest] = record.Version()
	}
	return nil
}

// Head is the manifest's message; the caller must not change it.
func (m *Manifest) Head() *mustardtidev1.Manifest { return m.head }

// Revision counts the accepted submits; 0 before the first.
func (m *Manifest) Revision() uint64 { return m.head.GetRevision() }

// Text returns the text of a file, "base" or a data centre; nil if none.
func (m *Manifest) Text(name string) []byte {
	var text []byte
	for _, piece := range m.Pieces(name) {
		text = append(text, piece.Text()...)
	}
	return text
}

// Pieces returns a file's pieces in order.
func (m *Manifest) Pieces(name string) []mtpiece.Piece {
	var pieces []mtpiece.Piece
	for _, file := range m.head.GetFiles() {
		if file.GetName() != name {
			continue
		}
		for _, digest := range file.GetPieces() {
			name := hex.EncodeToString(digest)
			pieces = append(pieces, mtpiece.Named(name, m.chunks[name]))
		}
	}
	return pieces
}

// Chunk returns the text of a digest, or nil.
func (m *Manifest) Chunk(digest string) []byte { return m.chunks[digest] }

// Chunks returns the texts by their digests; the caller must not change them.
func (m *Manifest) Chunks() map[string][]byte { return m.chunks }

// named is the set of digests that the manifest names.
func (m *Manifest) named() map[string]struct{} {
	set := map[string]struct{}{}
	for _, file := range m.head.GetFiles() {
		for _, digest := range file.GetPieces() {
			set[hex.EncodeToString(digest)] = struct{}{}
		}
	}
	return set
}

// dropped lists the digests that m names and next does not.
func (m *Manifest) dropped(next *Manifest) []string {
	set := m.named()
	for digest := range next.named() {
		delete(set, digest)
	}
	return slices.Sorted(maps.Keys(set))
}
