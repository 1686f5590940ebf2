package mtmanifest

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Next returns the manifest that follows m with the given files' texts, by
// name, in place of m's. A nil text removes the file.
func (m *Manifest) Next(submission, author string, texts map[string][]byte) *Manifest {
	head := &mustardtidev1.Manifest{
		Revision:   m.Revision() + 1,
		Submission: submission,
		Author:     author,
		Time:       timestamppb.New(time.Now()),
	}
	next := &Manifest{head: head, chunks: map[string][]byte{}}
	for _, file := range m.head.GetFiles() {
		if _, changed := texts[file.GetName()]; changed {
			continue
		}
		head.Files = append(head.Files, file)
		next.chunks[file.GetDigest()] = m.chunks[file.GetDigest()]
	}
	for name, text := range texts {
		if text == nil {
			continue
		}
		digest := Digest(text)
		head.Files = append(head.Files, &mustardtidev1.File{Name: name, Digest: digest, Revision: head.GetRevision()})
		next.chunks[digest] = text
	}
	return next
}
