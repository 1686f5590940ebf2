package mtfleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"
)

// onceFault is one failure; it returns what heals it.
type onceFault struct {
	name  string
	begin func(h *onceHistory) (heal func())
}

// onceFaultKinds are drawn two at a time.
var onceFaultKinds = []onceFault{
	{"entry killed", func(h *onceHistory) func() {
		name := fmt.Sprintf("entry-%d", h.random.IntN(onceEntries))
		if h.killed[name] {
			return func() {}
		}
		h.killed[name] = true
		h.fleet.Resume(name)
		h.Expect(h.fleet.Kill(name)).To(Succeed())
		return func() { h.Expect(h.fleet.AddEntry(name, "imanta")).To(Succeed()) }
	}},
	{"sidecar killed", func(h *onceHistory) func() {
		name := h.target()
		if h.killed[name] {
			return func() {}
		}
		h.killed[name] = true
		h.fleet.Resume(name)
		h.Expect(h.fleet.Kill(name)).To(Succeed())
		return func() {
			program := h.addresses[name+"-program"]
			h.Expect(h.fleet.AddSidecar(name, "consent", "imanta", program)).To(Succeed())
		}
	}},
	{"sidecar paused", func(h *onceHistory) func() {
		name := h.target()
		if h.killed[name] {
			return func() {}
		}
		h.fleet.Pause(name)
		return func() { h.fleet.Resume(name) }
	}},
	{"entry paused", func(h *onceHistory) func() {
		name := fmt.Sprintf("entry-%d", h.random.IntN(onceEntries))
		if h.killed[name] {
			return func() {}
		}
		h.fleet.Pause(name)
		return func() { h.fleet.Resume(name) }
	}},
	{"platform down", func(h *onceHistory) func() {
		h.fleet.Platform().Faults().Down(true)
		return func() { h.fleet.Platform().Faults().Down(false) }
	}},
	{"platform hangs", func(h *onceHistory) func() {
		h.fleet.Platform().Faults().Hang(true)
		return func() { h.fleet.Platform().Faults().Hang(false) }
	}},
	{"platform slow", func(h *onceHistory) func() {
		h.fleet.Platform().Faults().Slow(time.Duration(h.random.IntN(3000)) * time.Millisecond)
		return func() { h.fleet.Platform().Faults().Slow(platformLatency) }
	}},
	{"answers lost", func(h *onceHistory) func() {
		h.fleet.Platform().Faults().Lose(0.5)
		return func() { h.fleet.Platform().Faults().Lose(0) }
	}},
	{"connections silent", func(h *onceHistory) func() {
		h.fleet.Wire().Silence(h.addresses[h.target()])
		return func() {}
	}},
	{"connections cut", func(h *onceHistory) func() {
		h.fleet.Wire().Cut(h.addresses[h.target()])
		h.fleet.Wire().Cut(h.addresses["platform"])
		return func() {}
	}},
	{"target's connections cut", func(h *onceHistory) func() {
		h.fleet.Wire().Cut(h.addresses[h.target()+"-program"])
		return func() {}
	}},
	{"home not reached", func(h *onceHistory) func() {
		address := h.addresses[h.target()]
		h.fleet.Wire().Down(address, true)
		h.fleet.Wire().Cut(address)
		return func() { h.fleet.Wire().Down(address, false) }
	}},
}
