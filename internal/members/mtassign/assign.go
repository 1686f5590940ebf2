// Package mtassign divides tasks among the members of a fleet without a word between them, by
// rendezvous hashing: who sees the same members comes to the same order for each task.
package mtassign

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Assignment is one member's view. Members that it does not see make it take more tasks than
// are its own, members that have gone make it take fewer.
type Assignment struct {
	own    uint64
	others []uint64
}

// New returns the view of a member that sees others.
func New(own string, others []string) *Assignment {
	a := &Assignment{own: xxh3.HashString(own)}
	for _, other := range others {
		if other != own {
			a.others = append(a.others, xxh3.HashString(other))
		}
	}
	return a
}

// Rank is how many other members come before this one for a task; counting ends at most.
func (a *Assignment) Rank(task string, most int) int {
	rank, score := 0, xxh3.HashStringSeed(task, a.own)
	for _, other := range a.others {
		if rank == most {
			break
		}
		if xxh3.HashStringSeed(task, other) > score {
			rank++
		}
	}
	return rank
}

// First lists the tasks for which fewer than copies other members come before this one, those
// for which fewest do first.
func (a *Assignment) First(tasks []string, copies int) []string {
	ranks := make(map[string]int, len(tasks))
	var mine []string
	for _, task := range tasks {
		if rank := a.Rank(task, copies); rank < copies {
			ranks[task] = rank
			mine = append(mine, task)
		}
	}
	slices.SortStableFunc(mine, func(x, y string) int { return cmp.Compare(ranks[x], ranks[y]) })
	return mine
}

// Leading lists the members that come first for a task, at most so many: those whose First has it.
func Leading(task string, members []string, most int) []string {
	scores := make(map[string]uint64, len(members))
	for _, member := range members {
		scores[member] = xxh3.HashStringSeed(task, xxh3.HashString(member))
	}
	list := slices.SortedFunc(maps.Keys(scores), func(x, y string) int { return cmp.Compare(scores[y], scores[x]) })
	return list[:min(most, len(list))]
}
