package mtfleet_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/standin/mtengine"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
	"github.com/mustardtide/mustardtide/internal/standin/mtproof"
)

// fullBase has an account without bounds, one with a rate and one with streams;
// their keys are "schools-key", "clerks-key" and "parents-key".
const fullBase = `
datacentres: [imanta]
accounts:
  - name: schools
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
  - name: clerks
    rate: 3000
    burst: 3000
    hashes: [4034d6cbdc22bbb1602c840dddc58b1ea16fa324133376cf31ecb4219eaddbc0]
  - name: parents
    streams: 2
    hashes: [f9f7a1d706ecccc5709be578cdee523dbd9a802884a444677a4ca708f00617df]
services:
  - name: trip
    kind: model
    model: dossier
    deadline: 3s
    granule: 64
    stride: 16
    slots: 4
    prefill: 2000
    decode: 10ms
`

// outcome is what one caller got, when, and when it was told to come back.
type outcome struct {
	status int
	code   string
	ran    string
	after  int
	took   time.Duration
	err    error
}

// fullFleet is two entries before two engines that a burst overloads.
type fullFleet struct {
	*mtfleet.Fleet
	g       *WithT
	engines []*mtengine.Engine
	client  *http.Client
	served  int
}

func newFullFleet(g *WithT) *fullFleet {
	fleet, err := mtfleet.New()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fleet.Submit(fullBase)).To(Succeed())
	f := &fullFleet{Fleet: fleet, g: g, client: &http.Client{Transport: fleet.Wire().Transport()}}
	for i := range 2 {
		engine := mtengine.New(4, 2000, 10*time.Millisecond, 10)
		f.engines = append(f.engines, engine)
		g.Expect(fleet.AddTarget(fmt.Sprintf("trip-%d", i), "trip", "imanta", engine)).To(Succeed())
		g.Expect(fleet.AddEntry(fmt.Sprintf("entry-%d", i), "imanta")).To(Succeed())
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *fullFleet) ask(entry int, key string, number int) outcome {
	prompt := fmt.Sprintf("%d %s", number, strings.Repeat("read ", 200))
	body := fmt.Sprintf(`{"model":"dossier","max_tokens":10,"prompt":%q}`, prompt)
	request, err := http.NewRequest(http.MethodPost, f.Entry(fmt.Sprintf("entry-%d", entry))+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	response, err := f.client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	after, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return outcome{
		status: response.StatusCode,
		code:   response.Header.Get("Mustardtide-Code"),
		ran:    response.Header.Get("Mustardtide-Ran"),
		after:  after,
		took:   time.Since(sent),
	}
}

// burst sends so many requests within a second and returns what they got.
func (f *fullFleet) burst(key string, count int) []outcome {
	got := make([]outcome, count)
	var group sync.WaitGroup
	for i := range got {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(count))
			got[i] = f.ask(i%2, key, i)
		})
	}
	group.Wait()
	return got
}

// check holds every refusal to its word: it says "not run", when to come back,
// and it comes at once or, where the queue gave the request up, before its
// deadline. Nothing refused runs later.
func (f *fullFleet) check(proof *mtproof.Proof, got []outcome, codes ...string) {
	refused := 0
	told := map[int]int{}
	for _, o := range got {
		f.g.Expect(o.err).NotTo(HaveOccurred())
		if o.status == http.StatusOK {
			f.served++
			f.g.Expect(o.took).To(BeNumerically("<=", 3*time.Second))
			continue
		}
		refused++
		told[o.after]++
		f.g.Expect(codes).To(ContainElement(o.code), "%+v", o)
		f.g.Expect(o.ran).To(Equal("no"), "%+v", o)
		f.g.Expect(o.after).To(BeNumerically(">=", 1), "%+v", o)
		f.g.Expect(o.took).To(BeNumerically("<", 3*time.Second), "%+v", o)
	}
	f.g.Expect(refused).To(BeNumerically(">", 0))
	if refused >= 20 {
		f.g.Expect(len(told)).To(BeNumerically(">", 1), "all were told the same time: %v", told)
	}
	time.Sleep(time.Minute)
	begun := 0
	for _, engine := range f.engines {
		begun += int(engine.Begun())
	}
	f.g.Expect(begun).To(Equal(f.served), "what was refused has run, or ran twice")
	proof.Add("histories", 1)
	proof.Add("operations", len(got))
	proof.Add("refusals", refused)
}

// Everyone comes within one second, one account passes its rate, another opens
// more streams than it may, and then every target leaves. Each caller that gets
// no answer must be told so at once, truly "not run", with a time to come back
// that is not everyone's. Cause: there is more work than targets.
func TestProofRefusalFinal(t *testing.T) {
	proof := mtproof.New(t, "refusal-final")
	synctest.Test(t, func(t *testing.T) {
		f := newFullFleet(NewWithT(t))
		defer func() {
			f.client.CloseIdleConnections()
			f.g.Expect(f.Close()).To(Succeed())
		}()
		f.check(proof, f.burst("schools-key", 120), "201", "202")
		f.check(proof, f.burst("clerks-key", 60), "203")
		f.check(proof, f.burst("parents-key", 30), "204")
		f.g.Expect(f.Stop("trip-0")).To(Succeed())
		f.g.Expect(f.Kill("trip-1")).To(Succeed())
		f.check(proof, f.burst("schools-key", 30), "205", "206", "305")
		proof.Add("faults", 2)
	})
}
