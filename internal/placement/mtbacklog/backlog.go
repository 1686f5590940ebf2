// Package mtbacklog counts the work of an engine by rank.
//
// Engines admit more urgent requests first and preempt less urgent runs. A request therefore waits
// for the work of its own and more urgent ranks only. Counting all work alike makes entries refuse
// urgent requests for a queue that they would overtake.
package mtbacklog

import (
	"cmp"
	"slices"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Backlog is the work of some ranks on one engine. The zero value is empty. Lists have few ranks,
// so that a scan is faster than a map. It is not safe for concurrent use.
type Backlog struct{ list []*fleetv1.Backlog }

// Of returns the backlog of a message, which must not be changed afterwards.
func Of(list []*fleetv1.Backlog) Backlog { return Backlog{list} }

// Add adds prompt tokens that wait for prefill, or removes them if tokens is negative.
func (b *Backlog) Add(rank int32, tokens int64) {
	at, found := slices.BinarySearchFunc(b.list, rank, func(w *fleetv1.Backlog, rank int32) int { return cmp.Compare(w.GetRank(), rank) })
	if !found {
		b.list = slices.Insert(b.list, at, &fleetv1.Backlog{Rank: rank})
	}
	b.list[at].Queued = max(0, b.list[at].GetQueued()+tokens)
}

// Merge adds the queued tokens of a message.
func (b *Backlog) Merge(list []*fleetv1.Backlog) {
	for _, work := range list {
		b.Add(work.GetRank(), work.GetQueued())
	}
}

// Known reports whether any work is listed.
func (b Backlog) Known() bool { return len(b.list) > 0 }

// Queued returns the prompt tokens that wait for prefill.
func (b Backlog) Queued() int64 {
	return b.sum(func(*fleetv1.Backlog) bool { return true }, (*fleetv1.Backlog).GetQueued)
}

// QueuedAhead returns the prompt tokens of a rank and the more urgent ones that wait for prefill.
func (b Backlog) QueuedAhead(rank int32) int64 {
	return b.sum(upTo(rank), (*fleetv1.Backlog).GetQueued)
}

// UsedAhead returns the tokens of memory that the runs of a rank and the more urgent ones use.
func (b Backlog) UsedAhead(rank int32) int64 { return b.sum(upTo(rank), (*fleetv1.Backlog).GetUsed) }

// RunsAhead returns the number of runs of a rank and the more urgent ones.
func (b Backlog) RunsAhead(rank int32) int {
	return int(b.sum(upTo(rank), func(w *fleetv1.Backlog) int64 { return int64(w.GetRuns()) }))
}

func upTo(rank int32) func(*fleetv1.Backlog) bool {
	return func(w *fleetv1.Backlog) bool { return w.GetRank() <= rank }
}

func (b Backlog) sum(fits func(*fleetv1.Backlog) bool, value func(*fleetv1.Backlog) int64) int64 {
	var total int64
	for _, work := range b.list {
		if fits(work) {
			total += value(work)
		}
	}
	return total
}

// Message returns a copy for other processes, without ranks that have no queued tokens.
func (b Backlog) Message() []*fleetv1.Backlog {
	var list []*fleetv1.Backlog
	for _, work := range b.list {
		if work.GetQueued() > 0 {
			list = append(list, &fleetv1.Backlog{Rank: work.GetRank(), Queued: work.GetQueued()})
		}
	}
	return list
}
