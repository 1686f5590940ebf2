// Package mtorder decides which orders a target's sidecar obeys: it is the
// fence of targets that do not check fencing numbers themselves.
package mtorder

import (
	"fmt"

	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
)

// Gate knows the highest number of a target's orders. A new one knows nothing:
// an earlier start of its process may have obeyed any, so that it refuses all
// until Prime. It is not safe for concurrent use.
type Gate struct {
	primed  bool
	highest uint64
}

// Primed says whether the gate knows what earlier processes may have obeyed.
func (g *Gate) Primed() bool { return g.primed }

// Prime tells the highest number that any order may have had: the lease's.
func (g *Gate) Prime(highest uint64) {
	g.primed = true
	g.highest = max(g.highest, highest)
}

// Admit refuses an order under a lower number than one before. The same number
// again is the same holder's.
func (g *Gate) Admit(number uint64) *mtrefusal.Refusal {
	if !g.primed {
		return mtrefusal.New(mtcode.PlatformDown, "the target's lease can't be read")
	}
	if number < g.highest {
		return mtrefusal.New(mtcode.OrderFenced, fmt.Sprintf("order %d came after order %d", number, g.highest)).AsFinal()
	}
	g.highest = number
	return nil
}
