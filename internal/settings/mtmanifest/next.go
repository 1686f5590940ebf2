package mtmanifest

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtcompile"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
)

// maxRecent bounds the submissions that a manifest remembers. A submitter
// settles a lost answer within settleTime; at 9,700 submits a day, one every
// 9 seconds, about three follow it in that time.
const maxRecent = 16

// Next returns the manifest that follows m with the given files' texts, by
// name, in place of m's. A nil text removes the file.
func (m *Manifest) Next(submission, author string, texts map[string][]byte) *Manifest {
	next := New(&mustardtidev1.Manifest{
		Revision:   m.Revision() + 1,
		Submission: submission,
		Author:     author,
		Time:       timestamppb.New(time.Now()),
		Recent:     m.recent(),
	})
	for _, file := range m.head.GetFiles() {
		if _, changed := texts[file.GetName()]; !changed {
			next.head.Files = append(next.head.Files, file)
		}
	}
	next.Fill(m.chunks)
	for name, text := range texts {
		if text != nil {
			next.add(name, text)
		}
	}
	slices.SortFunc(next.head.GetFiles(), func(a, b *mustardtidev1.File) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return next
}

// recent lists m's own submission and those before it.
func (m *Manifest) recent() []string {
	if m.Revision() == 0 {
		return nil
	}
	list := slices.Concat([]string{m.head.GetSubmission()}, m.head.GetRecent())
	return list[:min(len(list), maxRecent)]
}

// add enters a file. A file that would read otherwise in pieces, as one in an
// unusual YAML style may, stays whole.
func (m *Manifest) add(name string, text []byte) {
	sum := sha256.Sum256(text)
	file := &mustardtidev1.File{Name: name, Digest: hex.EncodeToString(sum[:]), Revision: m.Revision()}
	pieces := mtpiece.Cut(text)
	var empty proto.Message = &mustardtidev1.Overlay{}
	if name == mtmerge.BaseName {
		empty = &mustardtidev1.Base{}
	}
	if len(pieces) > 1 && !mtcompile.Whole(text, pieces, empty) {
		pieces = []mtpiece.Piece{mtpiece.New(text)}
	}
	for _, piece := range pieces {
		digest, _ := hex.DecodeString(piece.Digest())
		file.Pieces = append(file.Pieces, digest)
		m.chunks[piece.Digest()] = piece.Text()
	}
	m.head.Files = append(m.head.Files, file)
}
