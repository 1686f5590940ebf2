// Package mtdirectory is a distributed directory of the holders of prompt parts. Each process keeps
// the holders of its share of the parts for the whole fleet.
//
// Prompts share long parts, and they arrive at hundreds of entries in front of hundreds of engines.
// If each entry broadcast what it knows of the parts, that would take most of the fleet's traffic
// and still reach few of the others. If none shared it, each part would be prefilled anew in every
// data centre. Therefore a hash over the live processes assigns each part its directory sidecars:
// entries notify them of the parts that they have given an engine to prefill, and query them before
// they choose a target. The cost grows with the number of requests, not with entries times engines.
//
// All of this is a hint. If a directory sidecar dies, its knowledge is lost until later requests
// rebuild it. Before an engine is relied on, its sidecar is asked.
package mtdirectory

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtholder"
)

const (
	// maxHolders limits the holders returned for one salt, and maxSalts the salts of one query. At
	// 40 bytes each the holders fit a datagram, and no caller asks more targets than that.
	maxHolders = 6
	maxSalts   = 3
)

// Directory is the share of one process. It is safe for concurrent use.
type Directory struct {
	holders *mtholder.Table
}

// New returns an empty directory.
func New() *Directory { return &Directory{holders: mtholder.New()} }

// Record records the parts that an entry has given an engine to prefill, or that the engine has
// prefilled, and the store that was sent them, if any.
func (d *Directory) Record(notice *fleetv1.Notice) {
	if store := notice.GetStore(); store != "" {
		d.holders.RecordStored(notice.GetSalt(), store, notice.GetParts())
	}
	if notice.GetRead() {
		d.holders.RecordHeld(notice.GetSalt(), notice.GetTarget(), notice.GetParts())
		return
	}
	d.holders.RecordPrefill(notice.GetSalt(), notice.GetTarget(), notice.GetParts())
}

// Lookup returns the known holders of the part that an entry looks up.
func (d *Directory) Lookup(query *fleetv1.Seek) *fleetv1.Sought {
	result := &fleetv1.Sought{Ask: query.GetAsk()}
	for _, salt := range query.GetSalts()[:min(maxSalts, len(query.GetSalts()))] {
		result.Holders = append(result.Holders, d.holders.Holders(salt, query.GetPart(), maxHolders)...)
	}
	return result
}
