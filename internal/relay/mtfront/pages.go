package mtfront

import (
	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/members/mtroster"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
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
	if !f.roster.Begin(part) {
		return
	}
	view := f.roster.View()
	f.board.UpdateTargets(view.All(), view.Replaced)
	f.start.NotifyChange()
}

// tellTargets logs what a complete list changes. The first is one line and one for each
// target that leaves: thousands of lines hide what else an entry says at its start.
func (f *Front) tellTargets(before *mtroster.View, list map[string]*fleetv1.Target, revision int64, source string) {
	if before.Complete() > 0 {
		for id, target := range list {
			f.tellTarget(before.Target(id), target, source)
		}
		return
	}
	counts := map[string]int{}
	for _, target := range list {
		counts[target.GetService()]++
		if target.GetLeaving() {
			f.tellTarget(nil, target, source)
		}
	}
	f.trail.Say(mtkind.TargetsListed, zap.Int("targets", len(list)), zap.Any("services", counts), zap.Int64("revision", revision), zap.String("from", source))
}
