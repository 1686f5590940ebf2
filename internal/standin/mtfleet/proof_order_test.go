package mtfleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/command/mtoperator"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	platformclient "github.com/mustardtide/mustardtide/internal/outside/mtplatform"
	"github.com/mustardtide/mustardtide/internal/relay/mttransport"
	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

// Sizes of one history of the proof.
const (
	orderHistories = 40
	orderEngines   = 3
	orderOperators = 3
	orderRounds    = 6
	orderLimit     = 2
	orderLoad      = 4 * time.Second
	// orderLatency is long so that many pauses fall between lease and order.
	orderLatency = 300 * time.Millisecond
)

// orderBase has a service whose engines check fencing numbers and one whose
// engines ignore them.
const orderBase = `
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
services:
  - {name: fenced, kind: model, model: dossier, deadline: 60s, granule: 64, stride: 16, loads: 2, fenced: true}
  - {name: plain, kind: model, model: draft, deadline: 60s, granule: 64, stride: 16, loads: 2}
`

// orderHistory is one seeded run.
type orderHistory struct {
	Gomega
	seed   uint64
	random *rand.Rand
	fleet  *mtfleet.Fleet
	names  []string

	engines   map[string]*mtengine.Engine
	addresses map[string]string
	faults    []string

	mu     sync.Mutex
	loads  map[string]int
	most   int
	sent   []orderSent
	stores []*mttransport.Transport
}

// orderSent is an order as its operator saw it.
type orderSent struct {
	target string
	number uint64
	err    error
}

func (h *orderHistory) setUp() {
	var err error
	h.fleet, err = mtfleet.New()
	h.Expect(err).NotTo(HaveOccurred())
	h.fleet.Platform().Faults().Slow(orderLatency)
	h.Expect(h.fleet.Submit(orderBase)).To(Succeed())
	for _, service := range []string{"fenced", "plain"} {
		for i := range orderEngines {
			name := fmt.Sprintf("%s-%d", service, i)
			engine := mtengine.New(8, 20000, 10*time.Millisecond, 100)
			engine.TakeOrders(service == "fenced", orderLoad, func(delta int) { h.load(service, delta) })
			h.engines[name] = engine
			h.names = append(h.names, name)
			h.Expect(h.fleet.AddTarget(name, service, "imanta", engine)).To(Succeed())
			h.addresses[name] = h.fleet.Address(name)
			h.addresses[name+"-program"] = h.fleet.Address(name + "-program")
		}
	}
	time.Sleep(5 * time.Second)
}

// load counts the engines of a service that load now.
func (h *orderHistory) load(service string, delta int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads[service] += delta
	h.most = max(h.most, h.loads[service])
}

// operator returns an operator with a network party of its own.
func (h *orderHistory) operator(i int) *mtoperator.Operator {
	network := h.fleet.Wire().NetOf(fmt.Sprintf("operator-%d", i))
	store := network.Outside()
	h.mu.Lock()
	h.stores = append(h.stores, store)
	h.mu.Unlock()
	return mtoperator.New(network, platformclient.New("http://10.0.0.1:80", "default", store), nil)
}

// order gives one order and records what came of it.
func (h *orderHistory) order(operator *mtoperator.Operator, target string, order *mustardtidev1.Order) {
	number, err := operator.Order(context.Background(), target, order)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, orderSent{target: target, number: number, err: err})
}

// operators give orders at random, in the same few targets' way.
func (h *orderHistory) operators(group *sync.WaitGroup) {
	for i := range orderOperators {
		operator := h.operator(i)
		random := rand.New(rand.NewPCG(h.seed, uint64(i)))
		group.Go(func() {
			defer operator.Close()
			for round := range orderRounds {
				order := &mustardtidev1.Order{Weights: fmt.Sprintf("v%d-%d", i, round)}
				if random.IntN(3) == 0 {
					order = &mustardtidev1.Order{Role: "prefill"}
				}
				h.order(operator, h.choose(random), order)
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			}
		})
	}
}

// choose prefers one target, so that operators meet.
func (h *orderHistory) choose(random *rand.Rand) string {
	if random.IntN(10) < 6 {
		return h.names[int(h.seed)%2*orderEngines]
	}
	return h.names[random.IntN(len(h.names))]
}

// disturb brings about one failure and returns what heals it.
func (h *orderHistory) disturb() func() {
	name := h.names[h.random.IntN(len(h.names))]
	party := fmt.Sprintf("operator-%d", h.random.IntN(orderOperators))
	platform := h.fleet.Platform().Faults()
	kinds := []string{"operator paused", "operator paused", "sidecar killed", "sidecar paused", "platform down", "answers lost", "platform slow", "engine's connections cut", "sidecar's connections cut"}
	kind := kinds[h.random.IntN(len(kinds))]
	h.faults = append(h.faults, kind+" "+name)
	switch kind {
	case "operator paused":
		h.fleet.Wire().Pause(party)
		return func() { h.fleet.Wire().Resume(party) }
	case "sidecar killed":
		h.fleet.Resume(name)
		h.Expect(h.fleet.Kill(name)).To(Succeed())
		service := name[:len(name)-2]
		return func() {
			h.Expect(h.fleet.AddSidecar(name, service, "imanta", h.addresses[name+"-program"])).To(Succeed())
		}
	case "sidecar paused":
		h.fleet.Pause(name)
		return func() { h.fleet.Resume(name) }
	case "platform down":
		platform.Down(true)
		return func() { platform.Down(false) }
	case "answers lost":
		platform.Lose(0.5)
		return func() { platform.Lose(0) }
	case "platform slow":
		platform.Slow(time.Second)
		return func() { platform.Slow(orderLatency) }
	case "engine's connections cut":
		h.fleet.Wire().Cut(h.addresses[name+"-program"])
	default:
		h.fleet.Wire().Cut(h.addresses[name])
	}
	return func() {}
}

// run lets operators race while things fail, two at a time.
func (h *orderHistory) run() {
	var group sync.WaitGroup
	h.operators(&group)
	for range 3 {
		time.Sleep(time.Duration(h.random.IntN(4000)) * time.Millisecond)
		first := h.disturb()
		time.Sleep(time.Duration(h.random.IntN(1000)) * time.Millisecond)
		second := func() {}
		if last := h.faults[len(h.faults)-1]; last[:7] != "sidecar" {
			second = h.disturb()
		}
		time.Sleep(time.Duration(2000+h.random.IntN(24000)) * time.Millisecond)
		first()
		second()
	}
	group.Wait()
	time.Sleep(time.Minute)
}

// check holds what took effect at the engines against the numbers.
func (h *orderHistory) check() {
	h.Expect(h.most).To(BeNumerically("<=", orderLimit), "seed %d %v: %d loads at once", h.seed, h.faults, h.most)
	applied := map[string][]uint64{}
	for name, engine := range h.engines {
		applied[name] = engine.Applied()
		h.Expect(slices.IsSorted(applied[name])).To(BeTrue(), "seed %d %v: %s took orders %v", h.seed, h.faults, name, applied[name])
	}
	for _, s := range h.sent {
		took := slices.Contains(applied[s.target], s.number)
		switch refusal := mtrefusal.FromError(s.err); {
		case s.err == nil:
			h.Expect(took).To(BeTrue(), "seed %d %v: %s lacks order %d", h.seed, h.faults, s.target, s.number)
		case refusal != nil && refusal.Ran() == mustardtidev1.Ran_NO && s.number > 0:
			h.Expect(took).To(BeFalse(), "seed %d %v: %s took refused order %d", h.seed, h.faults, s.target, s.number)
		}
	}
}

// Story: operators race to give engines orders. One is paused between taking
// the lease and sending its order, or a sidecar dies while its engine loads;
// meanwhile the platform is down, slow, or loses answers. An old order that
// takes effect after a newer one would leave an engine with weights that
// nobody wants any more, and too many loads at once would slow all of them.
func TestProofOrdersFenced(t *testing.T) {
	proof := mtproof.New(t, "orders-fenced")
	for _, target := range []string{"fenced-0", "plain-0"} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("paused holder/%s/restart=%v", target, restart), func(t *testing.T) {
				withOrders(t, proof, 0, func(h *orderHistory) { h.pausedHolder(target, restart) })
			})
		}
	}
	for _, target := range []string{"fenced-0", "plain-0"} {
		t.Run("killed loading/"+target, func(t *testing.T) {
			withOrders(t, proof, 0, func(h *orderHistory) { h.killedLoading(target) })
		})
	}
	for seed := range uint64(orderHistories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withOrders(t, proof, seed, (*orderHistory).run)
		})
	}
}

// withOrders checks one history.
func withOrders(t *testing.T, proof *mtproof.Proof, seed uint64, run func(*orderHistory)) {
	synctest.Test(t, func(t *testing.T) {
		h := &orderHistory{
			Gomega:    NewGomega(func(message string, _ ...int) { t.Error(message) }),
			seed:      seed,
			random:    rand.New(rand.NewPCG(seed, 11)),
			engines:   map[string]*mtengine.Engine{},
			addresses: map[string]string{},
			loads:     map[string]int{},
		}
		h.setUp()
		run(h)
		h.check()
		h.count(proof)
		for _, store := range h.stores {
			store.CloseIdleConnections()
		}
		h.Expect(h.fleet.Close()).To(Succeed())
		// A slow call of the platform outlives its connection.
		time.Sleep(lastCalls)
	})
}

// pausedHolder lets an operator be paused while its lease is written, another
// take the lease over, and the first go on. The sidecar may have been started
// anew in between, and then knows only what the lease tells it.
func (h *orderHistory) pausedHolder(target string, restart bool) {
	var group sync.WaitGroup
	order := func(i int, weights string) {
		operator := h.operator(i)
		defer operator.Close()
		h.order(operator, target, &mustardtidev1.Order{Weights: weights})
	}
	group.Go(func() { order(0, "old") })
	// The list and the lease are read; the write is on its way.
	time.Sleep(2*orderLatency + orderLatency/2)
	h.fleet.Wire().Pause("operator-0")
	h.faults = append(h.faults, "operator paused behind its lease")
	order(1, "new")
	if restart {
		h.faults = append(h.faults, "sidecar killed")
		h.Expect(h.fleet.Kill(target)).To(Succeed())
		h.Expect(h.fleet.AddSidecar(target, target[:len(target)-2], "imanta", h.addresses[target+"-program"])).To(Succeed())
		time.Sleep(5 * time.Second)
	}
	h.fleet.Wire().Resume("operator-0")
	group.Wait()
	h.Expect(h.sent).To(HaveLen(2))
	h.Expect(h.sent[0].err).NotTo(HaveOccurred())
	h.Expect(h.sent[1].number).To(BeNumerically("<", h.sent[0].number))
	h.Expect(h.sent[1].err).To(HaveOccurred())
	h.Expect(h.resend(target, h.sent[1].number)).To(BeEquivalentTo(mtcode.OrderFenced))
	h.Expect(h.engines[target].Applied()).To(Equal([]uint64{h.sent[0].number}))
}

// resend gives an old order to whichever sidecar stands beside the target now,
// as it comes where a new process has its predecessor's address.
func (h *orderHistory) resend(target string, number uint64) uint32 {
	transport := h.fleet.Wire().Net().Internal()
	defer transport.CloseIdleConnections()
	client := mustardtidev1connect.NewSidecarServiceClient(&http.Client{Transport: transport}, "http://"+h.fleet.Address(target))
	reply, err := client.Order(context.Background(), connect.NewRequest(&mustardtidev1.OrderRequest{Number: number, Order: &mustardtidev1.Order{Weights: "old"}}))
	h.Expect(err).NotTo(HaveOccurred())
	return reply.Msg.GetRefusal().GetCode()
}

// killedLoading lets a sidecar die while its engine loads. The next sidecar
// gets an order that takes effect at once, and must not let the older load end
// behind it.
func (h *orderHistory) killedLoading(target string) {
	var group sync.WaitGroup
	operator := h.operator(0)
	group.Go(func() { h.order(operator, target, &mustardtidev1.Order{Weights: "old"}) })
	time.Sleep(orderLoad / 2)
	h.faults = append(h.faults, "sidecar killed while its engine loads")
	h.Expect(h.fleet.Kill(target)).To(Succeed())
	h.Expect(h.fleet.AddSidecar(target, target[:len(target)-2], "imanta", h.addresses[target+"-program"])).To(Succeed())
	group.Wait()
	h.order(operator, target, &mustardtidev1.Order{Role: "prefill"})
	operator.Close()
	h.Expect(h.sent[1].err).NotTo(HaveOccurred())
	h.Expect(h.engines[target].Applied()).To(Equal([]uint64{h.sent[0].number, h.sent[1].number}))
}

func (h *orderHistory) count(proof *mtproof.Proof) {
	proof.Add("histories", 1)
	proof.Add("operations", len(h.sent))
	proof.Add("faults", len(h.faults))
	for name, engine := range h.engines {
		proof.Add("applied", len(engine.Applied()))
		events, _ := h.fleet.Log(name).Events(&mustardtidev1.EventsRequest{})
		for _, e := range events {
			if e.GetCode() == uint32(mtkind.OrderRefused) && strings.Contains(e.GetText(), mtcode.OrderFenced.Name()) {
				proof.Add("fenced", 1)
			}
		}
	}
	for _, s := range h.sent {
		if refusal := mtrefusal.FromError(s.err); refusal != nil {
			proof.Add(refusal.Code().Name(), 1)
		} else if s.err != nil {
			proof.Add("unknown", 1)
		}
	}
}
