// Package mtdirectory keeps the holders of a share of all parts of prompts, for the whole
// fleet.
//
// The load it answers is prompts that share long parts, at hundreds of entries and
// engines. Told by each entry to the others, what is known of the parts takes most of the
// fleet's bytes and still reaches few; known to nobody, each part is read anew in every
// data centre. So each part has a keeper, by a hash over the live processes: entries tell
// it what they have given an engine to read, and ask it before they choose. That costs by
// requests, not by entries times engines.
//
// All of it is a hint. A keeper that is gone costs knowledge, which the next requests
// bring back; and before an engine is relied on, its sidecar is asked.
package mtdirectory

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
)

const (
	// most bounds the holders that are named for one salt, and salts those of one
	// question: with 40 bytes each they fit a datagram, and nobody asks more of them.
	most  = 6
	salts = 3
)

// Directory is one process's share. It is safe for concurrent use.
type Directory struct {
	holders *mtholder.Memory
}

// New returns an empty one.
func New() *Directory { return &Directory{holders: mtholder.New()} }

// Take takes in what an entry has given an engine to read.
func (d *Directory) Take(notice *fleetv1.Notice) {
	if store := notice.GetStore(); store != "" {
		d.holders.Keep(notice.GetSalt(), store, notice.GetParts())
	}
	if notice.GetRead() {
		d.holders.Note(notice.GetSalt(), notice.GetTarget(), notice.GetParts())
		return
	}
	d.holders.Read(notice.GetSalt(), notice.GetTarget(), notice.GetParts())
}

// Answer answers a question.
func (d *Directory) Answer(seek *fleetv1.Seek) *fleetv1.Sought {
	sought := &fleetv1.Sought{Ask: seek.GetAsk()}
	for _, salt := range seek.GetSalts()[:min(salts, len(seek.GetSalts()))] {
		sought.Holders = append(sought.Holders, d.holders.Holders(salt, seek.GetPart(), most)...)
	}
	return sought
}
