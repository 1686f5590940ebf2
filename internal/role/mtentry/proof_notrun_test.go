package mtentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
	"github.com/mustardtide/mustardtide/internal/standin/mtservice"
)

// notRunFaults break things between an entry and a target, and stop targets.
func notRunFaults() map[string]func(*mtfleet.Fleet, string) {
	return map[string]func(*mtfleet.Fleet, string){
		"sidecar-restarted": func(f *mtfleet.Fleet, name string) {
			f.Kill(name)
			f.Restart(name)
		},
		"sidecar-killed":    func(f *mtfleet.Fleet, name string) { f.Kill(name) },
		"sidecar-stopped":   func(f *mtfleet.Fleet, name string) { f.Stop(name) },
		"program-killed":    func(f *mtfleet.Fleet, name string) { f.Kill(name + "-program") },
		"program-cut":       func(f *mtfleet.Fleet, name string) { f.Wire().Cut(f.Address(name + "-program")) },
		"connection-silent": func(f *mtfleet.Fleet, name string) { f.Wire().Silence(f.Address(name)) },
		"connection-cut":    func(f *mtfleet.Fleet, name string) { f.Wire().Cut(f.Address(name)) },
		"dials-refused":     func(f *mtfleet.Fleet, name string) { f.Wire().Down(f.Address(name), true) },
		"none":              func(*mtfleet.Fleet, string) {},
	}
}

// notRunHistory sends a crowd of calls with deadlines too short for some of
// them to two small targets of each kind, brings two faults about, and returns
// the answers with the record of what the programs saw.
func notRunHistory(t *testing.T, names [2]string, random *rand.Rand) (replies []callerReply, seen *recorder) {
	seen = newRecorders()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newPathFleet(t, g)
		for i := range 2 {
			engine := seen.of(mtengine.New(4, 20000, 100*time.Millisecond, 1000))
			g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", engine)).To(Succeed())
			form := seen.of(mtservice.New(1500 * time.Millisecond))
			g.Expect(fleet.AddTarget(fmt.Sprintf("form-%d", i), "form", "imanta", form)).To(Succeed())
		}
		g.Expect(fleet.AddEntry("entry-0", "imanta")).To(Succeed())
		time.Sleep(5 * time.Second)
		entry := fleet.Entry("entry-0")
		c := newCaller(fleet)
		pathReady(g, c, entry)
		replies = make([]callerReply, 80)
		var group sync.WaitGroup
		for i := range replies {
			wait := time.Duration(random.Int64N(int64(time.Second)))
			left := 100*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
			group.Go(func() {
				time.Sleep(wait)
				replies[i] = notRunCall(c, entry, i, left)
			})
		}
		for i, name := range names {
			target := fmt.Sprintf("%s-%d", []string{"trip", "form"}[random.IntN(2)], i)
			at := time.Duration(random.Int64N(int64(3 * time.Second)))
			group.Go(func() {
				time.Sleep(at)
				notRunFaults()[name](fleet, target)
			})
		}
		group.Wait()
		c.close()
		_ = fleet.Close()
		time.Sleep(pingsEnd)
	})
	return replies, seen
}

func notRunCall(c *pathCaller, entry string, i int, left time.Duration) callerReply {
	header := http.Header{"Mustardtide-Deadline": {left.String()}}
	if i%2 == 0 {
		return c.send(entry+"/v1/services/form/file", fmt.Sprintf("slip %d", i), header)
	}
	body := fmt.Sprintf(`{"model":"dossier","stream":%v,"max_tokens":10,"prompt":"question %d"}`, i%4 == 1, i)
	return c.send(entry+"/v1/completions", body, header)
}

// A parent's call is refused with "not run" while its target is overloaded,
// stopped, killed, restarted or out of reach, and the parent's application
// sends it anew. If the first had reached the program, it runs twice. Every
// "not run" is compared with what the programs in fact were handed; and no
// call to a plain service reaches a program twice.
func TestProofNotRunTrue(t *testing.T) {
	proof := mtproof.New(t, "not-run-true")
	random := rand.New(rand.NewPCG(5, 5))
	names := []string{"sidecar-restarted", "sidecar-killed", "sidecar-stopped", "program-killed", "program-cut", "connection-silent", "connection-cut", "dials-refused", "none"}
	notRun := 0
	check := func(t *testing.T, pair [2]string) {
		g := NewWithT(t)
		replies, seen := notRunHistory(t, pair, random)
		proof.Add("histories", 1)
		for i, r := range replies {
			proof.Add("operations", 1)
			run := r.header.Get("Mustardtide-Run")
			if r.ran() == "no" {
				notRun++
				proof.Add("notrun", 1)
				g.Expect(seen.times(run)).To(BeZero(), "%s: %s", run, r.body)
			}
			if i%2 == 0 {
				g.Expect(seen.times(run)).To(BeNumerically("<=", 1), "%s: %s", run, r.body)
			}
		}
	}
	for i, name := range names {
		proof.Add("faults", 1)
		t.Run(name, func(t *testing.T) { check(t, [2]string{name, "none"}) })
		for range 2 {
			second := names[random.IntN(len(names)-1)]
			proof.Add("faults", 2)
			t.Run(fmt.Sprintf("%d/%s/%s", i, name, second), func(t *testing.T) { check(t, [2]string{name, second}) })
		}
	}
	NewWithT(t).Expect(notRun).To(BeNumerically(">", 100), "the histories must hold refusals to check")
}
