package mtpromise_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtpromise"
	"github.com/mustardtide/mustardtide/internal/admission/mtschedule"
)

const (
	class      = 1
	capacity   = 60
	deadline   = 5 * time.Second
	queueLimit = 1200 * time.Millisecond
	step       = 5 * time.Millisecond
)

// caller is one with a request.
type caller struct {
	id       string
	until    time.Time
	at       time.Time
	refused  int
	admitted bool
	// opens is when the promised window begins.
	opens time.Time
	// hasty ones return every 20 ms.
	hasty bool
}

// model is a service of one queue before which some entries refuse what would wait too long. All
// look promises up in the same sidecar.
type model struct {
	entries []*mtschedule.Schedule
	sidecar *mtpromise.Table
	queue   float64
	callers []*caller
	draw    *rand.Rand
	// fresh and early count first requests, and returns before the promised window, while the
	// queue is long.
	fresh, early attempts
}

type attempts struct{ made, admitted int }

func (a *attempts) count(admitted bool) {
	a.made++
	if admitted {
		a.admitted++
	}
}

func (a *attempts) chance() float64 { return float64(a.admitted) / float64(max(1, a.made)) }

func newModel(entries int) *model {
	m := &model{sidecar: mtpromise.New(), draw: rand.New(rand.NewPCG(uint64(entries), 1))}
	for range entries {
		m.entries = append(m.entries, mtschedule.New())
	}
	return m
}

// run sends requests for a time at a rate as a multiple of the service's, some of them hasty.
func (m *model) run(d time.Duration, load, hasty float64) {
	arrived := 0.0
	for range int(d / step) {
		time.Sleep(step)
		m.queue = max(0, m.queue-capacity*step.Seconds())
		for arrived += load * capacity * step.Seconds(); arrived >= 1; arrived-- {
			now := time.Now()
			m.callers = append(m.callers, &caller{id: fmt.Sprint(len(m.callers)), until: now.Add(deadline), at: now, hasty: m.draw.Float64() < hasty})
		}
		for _, c := range m.callers {
			if !c.admitted && !c.at.After(time.Now()) && time.Now().Before(c.until) {
				m.ask(c)
			}
		}
	}
}

// ask sends a caller's request to an entry.
func (m *model) ask(c *caller) {
	entry := m.entries[m.draw.IntN(len(m.entries))]
	wait := time.Duration(m.queue / capacity * float64(time.Second))
	admit := wait <= queueLimit
	claimed := &fleetv1.Claimed{}
	if !admit {
		claimed = m.sidecar.Claim(&fleetv1.Claim{Hash: hash(c.id), Service: "pool"})
		admit = claimed.GetState() == taken && wait <= time.Until(c.until) && entry.Keep()
	}
	switch {
	case wait < queueLimit*9/10:
	case c.refused == 0:
		m.fresh.count(admit)
	case time.Now().Before(c.opens):
		m.early.count(admit)
	}
	if admit {
		c.admitted = true
		m.queue++
		entry.Begin(class)
		return
	}
	c.refused++
	switch {
	case c.hasty:
		c.at = time.Now().Add(20 * time.Millisecond)
	case c.refused > 1:
		c.at = c.until
	}
	if claimed.GetState() == early {
		return
	}
	again, opens, closes := entry.Book(class, time.Until(c.until))
	c.opens = time.Now().Add(opens)
	m.sidecar.Add(&fleetv1.Promise{Hash: hash(c.id), Service: "pool", Opens: uint32(opens.Milliseconds()), Closes: uint32(closes.Milliseconds())})
	if !c.hasty && c.refused == 1 {
		c.at = time.Now().Add(again)
	}
}

// share returns the share of callers, of a kind and refused at all, that were admitted.
func (m *model) share(hasty bool) (share float64, refused int) {
	admitted := 0
	for _, c := range m.callers {
		if c.hasty == hasty && c.refused > 0 {
			refused++
			if c.admitted {
				admitted++
			}
		}
	}
	return float64(admitted) / float64(max(1, refused)), refused
}

// Failure: callers that return when they were told to are refused again. Loads: 2.6 times what the
// service can do for 1.5 s, and 1.6 times that for 4 s, in both cases less than it can do before
// the callers' deadlines, then 0.7 times.
func TestCallersAreRefusedOnceInAnOverloadThatEnds(t *testing.T) {
	for _, entries := range []int{4, 30} {
		for _, burst := range []struct {
			load float64
			d    time.Duration
		}{{2.6, 1500 * time.Millisecond}, {1.6, 4 * time.Second}} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				m := newModel(entries)
				m.run(4*time.Second, 0.7, 0)
				m.run(burst.d, burst.load, 0)
				m.run(6*time.Second, 0.7, 0)
				share, refused := m.share(false)
				t.Logf("%d entries, %.1f times for %v: %d refused, %.3f of them once", entries, burst.load, burst.d, refused, share)
				g.Expect(refused).To(BeNumerically(">", 20))
				g.Expect(share).To(BeNumerically(">=", 0.9))
			})
		}
	}
}

// Failure: returns before their window are admitted more readily than new requests, or take the
// slots of callers that keep to their time, or memory. Load: 2.6 times what the service can do for
// 1.5 s, a third of it by callers that return every 20 ms.
func TestAFloodOfEarlyReturnsGainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newModel(4)
		m.run(4*time.Second, 0.7, 0)
		m.run(1500*time.Millisecond, 2.6, 0.33)
		m.run(6*time.Second, 0.7, 0)
		patient, _ := m.share(false)
		t.Logf("admitted: %.3f of the patient after a refusal, %.3f of %d first requests, %.3f of %d early returns",
			patient, m.fresh.chance(), m.fresh.made, m.early.chance(), m.early.made)
		g.Expect(m.early.made).To(BeNumerically(">", 100))
		g.Expect(m.early.chance()).To(BeNumerically("<=", m.fresh.chance()))
		g.Expect(patient).To(BeNumerically(">=", 0.9))
		g.Expect(m.sidecar.Len()).To(BeNumerically("<", 10))
	})
}
