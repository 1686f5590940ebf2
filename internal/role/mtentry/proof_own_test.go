package mtentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

const (
	ownCalls  = 30
	ownTokens = 8
)

// ownCallers ask different questions at once; each prompt has its own length,
// on which the stand-in's answer depends.
func ownCallers(fleet *mtfleet.Fleet, g *WithT) (replies []callerReply, prompts []string) {
	c := newCaller(fleet)
	entry := fleet.Entry("entry-0")
	pathReady(g, c, entry)
	replies = make([]callerReply, ownCalls)
	var group sync.WaitGroup
	for i := range replies {
		prompt := strings.Repeat("word", i+1)
		prompts = append(prompts, prompt)
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			replies[i] = c.complete(entry, prompt, ownTokens, true)
		})
	}
	group.Wait()
	c.close()
	return replies, prompts
}

// checkOwn holds each answer against its own question.
func checkOwn(g *WithT, proof *mtproof.Proof, replies []callerReply, prompts []string) {
	for i, r := range replies {
		proof.Add("operations", 1)
		text := textOf(r.body)
		if r.ended(true) {
			proof.Add("whole", 1)
			g.Expect(text).To(Equal(expected(prompts[i], ownTokens)), "question %d", i)
			continue
		}
		g.Expect(r.explicit()).To(BeTrue(), "%d %q", r.status, r.body)
		g.Expect(expected(prompts[i], ownTokens)).To(HavePrefix(text), "question %d", i)
	}
}

// An engine mixes up its connections and sends a school the answer about
// another's pupils, whole, late or from the middle on. The answer carries the
// other request's id: it must be given up before the school sees a word of it.
func TestProofOwnAnswer(t *testing.T) {
	proof := mtproof.New(t, "own-answer")
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("engine-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fleet := newPathFleet(t, g)
				var engines []*crossedEngine
				for i := range uint64(3) {
					engine := &crossedEngine{program: mtengine.New(8, 20000, 10*time.Millisecond, 1000), random: rand.New(rand.NewPCG(seed, i))}
					engines = append(engines, engine)
					g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", engine)).To(Succeed())
				}
				g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
				time.Sleep(5 * time.Second)
				replies, prompts := ownCallers(fleet, g)
				_ = fleet.Close()
				time.Sleep(pingsEnd)
				proof.Add("histories", 1)
				for _, engine := range engines {
					proof.Add("faults", engine.crossed)
				}
				checkOwn(g, proof, replies, prompts)
			})
		})
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("sidecar-%d", seed), func(t *testing.T) { ownSidecar(t, proof, seed) })
	}
}

// ownSidecar runs callers against a sidecar that mixes frames of other runs,
// attempts and offsets into its streams. The entry must drop them, take the
// rest over a new connection, and never take another run's end for this one's.
func ownSidecar(t *testing.T, proof *mtproof.Proof, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newPathFleet(t, g)
		sidecar := &crossedSidecar{name: "trip-0", random: rand.New(rand.NewPCG(seed, 9)), answers: map[string][][]byte{}}
		mux := http.NewServeMux()
		mux.Handle(mustardtidev1connect.NewSidecarServiceHandler(sidecar))
		const address = "10.9.0.1:80"
		listener, err := fleet.Wire().Listen(address)
		g.Expect(err).NotTo(HaveOccurred())
		server := mtserver.New(listener, nil, mux)
		done := make(chan error, 1)
		go func() { done <- server.Start(context.Background()) }()
		fleet.Platform().PutMember(&mustardtidev1.Member{Name: "trip-0", Role: "sidecar", Address: address, Datacentre: "imanta", Service: "trip"})
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)
		replies, prompts := ownCallers(fleet, g)
		_ = fleet.Close()
		_ = server.Close()
		<-done
		time.Sleep(pingsEnd)
		proof.Add("histories", 1)
		proof.Add("faults", sidecar.crossed)
		checkOwn(g, proof, replies, prompts)
		whole := 0
		for _, r := range replies {
			if r.ended(true) {
				whole++
			}
		}
		g.Expect(whole).To(BeNumerically(">", ownCalls*8/10), "crossed frames must not cost the answers")
	})
}
