package mtentry

import (
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// choose lists the targets for a task in the order to try them: rendezvous
// over the prompt's first mark, so that every entry finds the same home.
func (e *Entry) choose(t *task) []*mustardtidev1.Member {
	members := slices.Clone(e.evidence.Usable(t.service.GetName()))
	key := string(t.work.GetChain()[:min(len(t.work.GetChain()), 16)])
	slices.SortStableFunc(members, func(a, b *mustardtidev1.Member) int {
		left, right := xxh3.HashString(key+a.GetName()), xxh3.HashString(key+b.GetName())
		if left == right {
			return strings.Compare(a.GetName(), b.GetName())
		}
		if left > right {
			return -1
		}
		return 1
	})
	return members
}
