package mtqueue_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gopkg.in/yaml.v3"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtqueue"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// pattern is one entry of testdata/patterns.yaml.
type pattern struct {
	Name   string
	Memory uint64
	Slow   struct {
		After  time.Duration
		Factor float64
	}
	Load []accountLoad
	Want []expectation
}

type accountLoad struct {
	Account string
	Weight  float64
	Class   string
	Every   time.Duration
	Count   int
	Prompt  uint64
	Matched uint64
	Output  uint64
	Left    time.Duration
}

type expectation struct {
	Account string
	Served  float64
	First   time.Duration
	Late    int
}

// callerStats counts what the callers of one account received.
type callerStats struct {
	sent            int
	served          int
	late            int
	refused         int
	firstTokenTimes []time.Duration
	retryAfter      []time.Duration
	refusalTimes    []time.Duration // time from sending a request to its refusal
}

// target simulates a model engine that computes one prompt at a time and runs what the queue
// starts.
type target struct {
	mu         sync.Mutex
	queue      *mtqueue.Queue
	waiting    map[string]chan *mtrefusal.Refusal
	computing  chan struct{} // semaphore; blocking on a mutex would stop synctest's clock
	slowAfter  time.Time
	slowFactor float64
	wake       chan struct{}
}

const (
	prefill = 10000
	decode  = 10 * time.Millisecond
)

func newTarget(p pattern) *target {
	weights := map[string]float64{}
	for _, l := range p.Load {
		weights[l.Account] = cmp.Or(l.Weight, 1)
	}
	service := &mustardtidev1.Service{Name: "trip", Kind: proto.String("model"), Slots: proto.Uint32(8), Memory: proto.Uint64(p.Memory), Prefill: proto.Float64(prefill), Decode: durationpb.New(decode)}
	t := &target{
		queue:      mtqueue.New(service, func(account string) float64 { return weights[account] }),
		waiting:    map[string]chan *mtrefusal.Refusal{},
		wake:       make(chan struct{}, 1),
		computing:  make(chan struct{}, 1),
		slowFactor: cmp.Or(p.Slow.Factor, 1),
	}
	t.slowAfter = time.Now().Add(p.Slow.After)
	return t
}

// step delivers the queue's refusals and starts all requests that can run now.
func (t *target) step() {
	t.queue.Expire(func(work *mustardtidev1.Work, refusal *mtrefusal.Refusal) {
		t.waiting[work.GetRun()] <- refusal
	})
	for work := t.queue.Next(); work != nil; work = t.queue.Next() {
		t.waiting[work.GetRun()] <- nil
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// tick calls step whenever the queue's wake time comes, until done is closed.
func (t *target) tick(done <-chan struct{}) {
	for {
		t.mu.Lock()
		wake := t.queue.WakeTime()
		t.mu.Unlock()
		var timer <-chan time.Time
		if !wake.IsZero() {
			timer = time.After(time.Until(wake))
		}
		select {
		case <-timer:
			t.mu.Lock()
			t.step()
			t.mu.Unlock()
		case <-t.wake:
		case <-done:
			return
		}
	}
}

func (t *target) slowdown() float64 {
	if t.slowFactor > 1 && time.Now().After(t.slowAfter) {
		return t.slowFactor
	}
	return 1
}

// run sends one request and returns the times of its first token and its end.
func (t *target) run(work *mustardtidev1.Work, matched uint64) (first, end time.Time, refusal *mtrefusal.Refusal) {
	decision := make(chan *mtrefusal.Refusal, 1)
	t.mu.Lock()
	t.waiting[work.GetRun()] = decision
	if refusal = t.queue.Add(work, matched); refusal == nil {
		t.step()
	}
	t.mu.Unlock()
	if refusal == nil {
		refusal = <-decision
	}
	if refusal != nil {
		return first, end, refusal
	}
	t.computing <- struct{}{}
	time.Sleep(time.Duration(float64(work.GetPrompt()-matched) / prefill * t.slowdown() * float64(time.Second)))
	<-t.computing
	first = time.Now()
	t.mu.Lock()
	t.queue.FirstOutput(work.GetRun(), work.GetAttempt())
	t.step()
	t.mu.Unlock()
	time.Sleep(time.Duration(float64(work.GetOutput()-1) * t.slowdown() * float64(decode)))
	t.mu.Lock()
	t.queue.Done(work.GetRun(), work.GetAttempt(), &mustardtidev1.Finish{Complete: true, Prompt: work.GetPrompt(), Cached: matched, Output: work.GetOutput()})
	t.step()
	t.mu.Unlock()
	return first, time.Now(), nil
}

// play runs a pattern and returns the results of the callers by account.
func play(p pattern) map[string]*callerStats {
	t := newTarget(p)
	done := make(chan struct{})
	go t.tick(done)
	callers := map[string]*callerStats{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, l := range p.Load {
		callers[l.Account] = &callerStats{}
		for i := range l.Count {
			group.Go(func() {
				time.Sleep(time.Duration(i) * l.Every)
				work := &mustardtidev1.Work{
					Run: fmt.Sprintf("%s-%d", l.Account, i), Attempt: 1, Account: l.Account, Service: "trip",
					Prompt: l.Prompt, Output: l.Output, Class: mustardtidev1.Class(mustardtidev1.Class_value[cmp.Or(l.Class, "SHORT")]),
					Left: durationpb.New(l.Left), Chain: make([]byte, 16*(l.Prompt/256)),
				}
				sent := time.Now()
				first, end, refusal := t.run(work, l.Matched)
				mu.Lock()
				defer mu.Unlock()
				callers[l.Account].record(sent, first, end, l.Left, refusal)
			})
		}
	}
	group.Wait()
	close(done)
	synctest.Wait()
	return callers
}

func (c *callerStats) record(sent, first, end time.Time, left time.Duration, refusal *mtrefusal.Refusal) {
	c.sent++
	switch {
	case refusal != nil:
		c.refused++
		c.retryAfter = append(c.retryAfter, refusal.RetryAfter())
		c.refusalTimes = append(c.refusalTimes, time.Since(sent))
	case end.Sub(sent) > left:
		c.late++
	default:
		c.served++
		c.firstTokenTimes = append(c.firstTokenTimes, first.Sub(sent))
	}
}

func percentile(times []time.Duration, share float64) time.Duration {
	slices.Sort(times)
	if len(times) == 0 {
		return 0
	}
	return times[int(share*float64(len(times)-1))]
}

// Guards against unfair or late service while one target has more work than it can do: all
// accounts send at the same moment, one account sends far more than the others, long jobs mix
// with short ones, or the target turns slow. The results must stay within the bounds in the
// data file, and every refusal must carry a time to retry after.
func TestPatterns(t *testing.T) {
	text, err := os.ReadFile("testdata/patterns.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var patterns []pattern
	NewWithT(t).Expect(yaml.Unmarshal(text, &patterns)).To(Succeed())
	for _, p := range patterns {
		t.Run(p.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				got := play(p)
				for account, c := range got {
					t.Logf("%s: sent %d served %d late %d refused %d first p50 %v p99 %v", account, c.sent, c.served, c.late, c.refused, percentile(c.firstTokenTimes, 0.5), percentile(c.firstTokenTimes, 0.99))
					g.Expect(percentile(c.refusalTimes, 0.5)).To(BeNumerically("<", time.Millisecond), "most refusals must be immediate")
					for _, after := range c.retryAfter {
						g.Expect(after).To(BeNumerically(">", 0))
					}
				}
				for _, w := range p.Want {
					c := got[w.Account]
					g.Expect(float64(c.served)/float64(c.sent)).To(BeNumerically(">=", w.Served), w.Account)
					g.Expect(percentile(c.firstTokenTimes, 0.99)).To(BeNumerically("<=", w.First), w.Account)
					g.Expect(c.late).To(BeNumerically("<=", w.Late), w.Account)
				}
			})
		})
	}
}
