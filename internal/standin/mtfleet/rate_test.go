package mtfleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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
)

// rateBase has an account with a rate and a calm one with another; their keys are
// "clerks-key" and "schools-key". One request costs rateCost tokens.
const rateBase = `
datacentres: [imanta]
accounts:
  - name: schools
    rate: 3000
    hashes: [c2b2c8d9d0bbecf03be7238fcd16281cf54e084a4bcdd02cd5fd0a7fd1dd6b3c]
  - name: clerks
    rate: 3000
    burst: 3000
    hashes: [4034d6cbdc22bbb1602c840dddc58b1ea16fa324133376cf31ecb4219eaddbc0]
services:
  - name: trip
    kind: model
    model: dossier
    deadline: 30s
    granule: 64
    stride: 16
    slots: 64
    prefill: 1000000
    decode: 1ms
`

const (
	rateEntries = 4
	rateTokens  = 3000.0
	rateCost    = 400
	rateOutput  = 10
	// rateDelay bounds the time from an entry's decision to the engine's record of it.
	rateDelay = 20 * time.Millisecond
)

// taken is a request that reached the engine, and what it costs.
type taken struct {
	at   time.Time
	cost float64
}

// meter is an engine that records what it is asked by client account.
type meter struct {
	program http.Handler

	mu   sync.Mutex
	used map[string][]taken
}

func (m *meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var asked struct {
		Prompt string
		Tokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &asked) == nil && asked.Prompt != "" {
		account, _, _ := strings.Cut(asked.Prompt, " ")
		m.mu.Lock()
		m.used[account] = append(m.used[account], taken{time.Now(), float64(len(asked.Prompt)/4 + asked.Tokens)})
		m.mu.Unlock()
	}
	m.program.ServeHTTP(w, r)
}

// of is what an account has used from a time on.
func (m *meter) of(account string, from time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for _, t := range m.used[account] {
		if !t.at.Before(from) {
			sum += t.cost
		}
	}
	return sum
}

// worst is by how much the worst window of any length exceeds the rate and the burst.
func (m *meter) worst(account string, rate, burst float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	level, worst := burst, burst
	var last time.Time
	for _, t := range m.used[account] {
		level = min(burst, level+rate*t.at.Sub(last).Seconds()) - t.cost
		worst, last = min(worst, level), t.at
	}
	return -worst
}

// rateFleet is some entries before an engine that has room for all.
type rateFleet struct {
	*mtfleet.Fleet
	t      *testing.T
	g      *WithT
	meter  *meter
	client *http.Client
	asked  sync.WaitGroup

	mu      sync.Mutex
	refused map[string]int
	number  int
}

func withRateFleet(t *testing.T, test func(f *rateFleet)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		f := &rateFleet{
			Fleet: fleet, t: t, g: g, client: &http.Client{Transport: fleet.Wire().Transport()}, refused: map[string]int{},
			meter: &meter{program: mtengine.New(64, 1e6, time.Millisecond, 10), used: map[string][]taken{}},
		}
		defer func() {
			f.asked.Wait()
			f.client.CloseIdleConnections()
			g.Expect(f.Close()).To(Succeed())
			// Connections that went silent end.
			time.Sleep(2 * time.Minute)
		}()
		g.Expect(f.Submit(rateBase)).To(Succeed())
		g.Expect(f.AddTarget("trip-0", "trip", "imanta", f.meter)).To(Succeed())
		for i := range rateEntries {
			g.Expect(f.AddEntry(entryName(i), "imanta")).To(Succeed())
		}
		time.Sleep(20 * time.Second)
		test(f)
	})
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }

// load sends an account's requests for a time: so many times its rate, to each of some
// entries in turn.
func (f *rateFleet) load(account string, times float64, d time.Duration, entries ...int) {
	each := time.Duration(rateCost / (rateTokens * times) * float64(time.Second))
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		f.asked.Go(func() { f.ask(account, entries[i%len(entries)]) })
		time.Sleep(each)
	}
}

// ask sends one request of the usual size.
func (f *rateFleet) ask(account string, entry int) time.Duration {
	return f.send(account, entry, rateCost)
}

// send sends one request and returns when to come back, 0 where it was answered.
func (f *rateFleet) send(account string, entry, cost int) time.Duration {
	f.mu.Lock()
	f.number++
	head := fmt.Sprintf("%s %d ", account, f.number)
	f.mu.Unlock()
	prompt := head + strings.Repeat("r", (cost-rateOutput)*4-len(head))
	body := fmt.Sprintf(`{"model":"dossier","max_tokens":%d,"prompt":%q}`, rateOutput, prompt)
	request, err := http.NewRequest(http.MethodPost, f.Entry(entryName(entry))+"/v1/completions", strings.NewReader(body))
	f.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+account+"-key")
	response, err := f.client.Do(request)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode == http.StatusOK {
		return 0
	}
	f.g.Expect(response.Header.Get("Mustardtide-Code")).To(Equal("203"))
	f.g.Expect(response.Header.Get("Mustardtide-Ran")).To(Equal("no"))
	after, err := strconv.Atoi(response.Header.Get("Retry-After"))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(after).To(BeNumerically(">=", 1))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[account]++
	return time.Duration(after) * time.Second
}

// holds expects that no window of the clerks' goes over their rate and burst.
func (f *rateFleet) holds() {
	f.asked.Wait()
	over := f.meter.worst("clerks", rateTokens, rateTokens)
	f.t.Logf("the worst window is %.0f tokens below the rate and the burst", -over)
	f.g.Expect(over).To(BeNumerically("<=", rateTokens*rateDelay.Seconds()))
}

// gets expects that the clerks have used a part of their rate since a time.
func (f *rateFleet) gets(part float64, since time.Time) {
	f.asked.Wait()
	got := f.meter.of("clerks", since) / (rateTokens * time.Since(since).Seconds())
	f.t.Logf("%.3f of the rate", got)
	f.g.Expect(got).To(BeNumerically(">=", part))
}

// eachAway loads the first entry while each other one, the last first, goes away after a
// while, and ends that after another.
func (f *rateFleet) eachAway(leave, end func(entry string)) {
	for i := rateEntries - 1; i > 0; i-- {
		f.load("clerks", 3, 3*time.Second, 0)
		leave(entryName(i))
		f.load("clerks", 3, 5*time.Second, 0)
		end(entryName(i))
	}
}

// Failure: an account whose callers all use one entry has that entry's part of its rate.
func TestWholeRateAtOneEntry(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		begun := time.Now()
		f.load("clerks", 3, 15*time.Second, 2)
		f.gets(0.95, begun)
		f.holds()
	})
}

// Failure: an account that floods all entries gets more than its rate, or another account
// notices.
func TestRateOfAFlood(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		begun := time.Now()
		f.asked.Go(func() { f.load("schools", 0.6, 15*time.Second, 1, 3) })
		f.load("clerks", 5, 15*time.Second, 0, 1, 2, 3)
		f.gets(0.95, begun)
		f.holds()
		f.g.Expect(f.refused["schools"]).To(BeZero())
	})
}

// Failure: callers move to another entry at once and get a second burst there, or none.
func TestRateOfCallersWhoMove(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		begun := time.Now()
		for i := range 12 {
			f.load("clerks", 3, 1500*time.Millisecond, i%rateEntries)
		}
		f.gets(0.9, begun)
		f.holds()
	})
}

// Failure: each allocator that takes over after a crash hands out a burst of its own, or
// an account has nothing until the crashed one is off the list.
func TestRateWhileAllocatorsAreKilled(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		begun := time.Now()
		f.eachAway(
			func(entry string) { f.g.Expect(f.Kill(entry)).To(Succeed()) },
			func(entry string) { f.Platform().DropMember(entry) },
		)
		// The dead keep their shares for a while, as they may be cut off and use them.
		f.gets(0.55, begun)
		f.load("clerks", 3, 20*time.Second, 0)
		whole := time.Now()
		f.load("clerks", 3, 10*time.Second, 0)
		f.gets(0.95, whole)
		f.holds()
	})
}

// Failure: entries that do not reach each other each hand out the whole rate, or nothing.
func TestRateWhileEntriesAreCutOff(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		f.load("clerks", 5, 3*time.Second, 0, 1, 2, 3)
		f.cutOff(true)
		cut := time.Now()
		f.load("clerks", 5, 20*time.Second, 0, 1, 2, 3)
		f.gets(0.85, cut)
		f.cutOff(false)
		f.load("clerks", 5, 5*time.Second, 0, 1, 2, 3)
		whole := time.Now()
		f.load("clerks", 3, 10*time.Second, 1)
		f.gets(0.95, whole)
		f.holds()
	})
}

// Failure: an allocator that stands still is waited for by all others, and goes on with
// an old burst when it wakes.
func TestRateWhileAllocatorsAreFrozen(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		begun := time.Now()
		f.eachAway(func(entry string) { f.Pause(entry) }, func(entry string) { f.Resume(entry) })
		f.load("clerks", 3, 10*time.Second, 0)
		f.gets(0.6, begun)
		f.holds()
	})
}

// Failure: connections between entries that go silent, without an error, end an account's
// rate until something closes them.
func TestRateOverSilentConnections(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		f.load("clerks", 3, 3*time.Second, 0)
		begun := time.Now()
		for i := range rateEntries {
			f.Wire().Silence(f.Address(entryName(i)))
		}
		f.load("clerks", 3, 20*time.Second, 0)
		f.gets(0.75, begun)
		f.holds()
	})
}

// Failure: all entries are killed and start again with the account's burst each time.
func TestRateWhileAllAreRestarted(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		for range 4 {
			f.load("clerks", 5, 2*time.Second, 0, 1, 2, 3)
			f.asked.Wait()
			for i := range rateEntries {
				f.g.Expect(f.Kill(entryName(i))).To(Succeed())
			}
			for i := range rateEntries {
				f.g.Expect(f.Restart(entryName(i))).To(Succeed())
			}
			time.Sleep(5 * time.Second)
		}
		f.holds()
	})
}

// cutOff cuts all entries off from each other, or ends that.
func (f *rateFleet) cutOff(down bool) {
	for i := range rateEntries {
		address := f.Address(entryName(i))
		f.Wire().Down(address, down)
		f.Wire().Cut(address)
	}
}

// Failure: a request larger than the burst is refused for ever, or the account gets its
// rate beside it at another entry.
func TestRateOfALargeRequest(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		const large = 9000
		for f.send("clerks", 0, large) > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		begun := time.Now()
		time.Sleep(200 * time.Millisecond)
		for f.ask("clerks", 1) > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		paid := (large - rateTokens) / rateTokens * float64(time.Second)
		f.g.Expect(time.Since(begun)).To(BeNumerically("~", time.Duration(paid), 500*time.Millisecond))
	})
}

// Failure: a caller comes back when it was told and is refused again, though nobody else
// has used its account.
func TestRefusedByRateComesBack(t *testing.T) {
	withRateFleet(t, func(f *rateFleet) {
		for i := range 20 {
			var after time.Duration
			for after == 0 {
				after = f.ask("clerks", i%rateEntries)
			}
			time.Sleep(after)
			f.g.Expect(f.ask("clerks", i%rateEntries)).To(BeZero())
		}
		f.holds()
	})
}
