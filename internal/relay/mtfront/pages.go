package mtfront

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/platform/mtobjects"
)

// pages takes in the targets' entries, and the first list as it comes: an entry whose
// list has sixty pages would refuse all callers until the last, though it knows enough
// targets from the first on.
type pages struct {
	targets

	// read are the targets of the pages so far, of which the first taken are in use.
	read  []*fleetv1.Target
	taken int
}

// Page gets a part of a list. Parts are put to use when the list has doubled, as each
// use looks at all that is known.
func (p *pages) Page(list []mtobjects.Change[*fleetv1.Target]) {
	for _, change := range list {
		if !change.Gone() {
			p.read = append(p.read, change.Value())
		}
	}
	if len(p.read) > 0 && len(p.read) >= 2*p.taken {
		p.front.begin(p.read[p.taken:])
		p.taken = len(p.read)
	}
}

// Replace gets the complete list.
func (p *pages) Replace(list []mtobjects.Change[*fleetv1.Target], revision int64) {
	p.read, p.taken = nil, 0
	p.targets.Replace(list, revision)
}

// begin puts a part of the first list to use. Neither other entries nor sidecars hear of
// it: the complete list follows within moments.
func (f *Front) begin(part []*fleetv1.Target) {
	before := f.roster.View()
	if !f.roster.Begin(part) {
		return
	}
	for _, target := range part {
		f.tellTarget(before.Target(target.GetId()), target, "store")
	}
	view := f.roster.View()
	f.board.List(view.All(), view.Replaced)
}
