// Package mtresult judges a run of the laboratory by what its callers got.
package mtresult

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
)

// Header is the first line of the table.
const Header = "pattern\tpolicy\thit\tttft_p50\tttft_p99\twasted\trefused\tserved\tfairness"

// Result is one line of the table.
type Result struct {
	name     string
	policy   string
	count    int
	hit      float64
	p50, p99 time.Duration
	wasted   float64
	refused  float64
	served   float64
	fairness float64
	goodput  float64
	latest   time.Duration
	accounts map[string]float64
}

// New judges the requests that arrived from a time on.
func New(name, policy string, requests []*mtrequest.Request, from time.Duration) *Result {
	r := &Result{name: name, policy: policy, accounts: map[string]float64{}}
	var waits []time.Duration
	var prompt, cached, wasted, refused, good float64
	asked := map[string]float64{}
	for _, q := range requests {
		if q.At() < from {
			continue
		}
		r.count++
		cost := float64(q.Work().GetPrompt() + q.Work().GetOutput())
		asked[q.Work().GetAccount()] += cost
		if q.Refused() {
			refused++
			r.latest = max(r.latest, q.Wait())
			continue
		}
		waits = append(waits, q.Wait())
		prompt += float64(q.Work().GetPrompt())
		cached += float64(q.Cached())
		wasted += float64(q.Wasted())
		if q.Good() {
			good++
			r.goodput += cost
			r.accounts[q.Work().GetAccount()] += cost
		}
	}
	slices.Sort(waits)
	r.p50, r.p99 = quantile(waits, 0.50), quantile(waits, 0.99)
	r.hit, r.wasted = share(cached, prompt), share(wasted, prompt)
	r.refused, r.served = share(refused, float64(r.count)), share(good, float64(r.count))
	r.fairness = jain(requests, asked, r.accounts)
	return r
}

// jain is Jain's index over the served shares of the accounts that keep to
// their share: the share of what each asked for that it got.
func jain(requests []*mtrequest.Request, asked, got map[string]float64) float64 {
	loud := map[string]bool{}
	for _, q := range requests {
		if q.Loud() {
			loud[q.Work().GetAccount()] = true
		}
	}
	names := make([]string, 0, len(asked))
	for name := range asked {
		if !loud[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var sum, squares float64
	for _, name := range names {
		x := got[name] / asked[name]
		sum += x
		squares += x * x
	}
	return share(sum*sum, float64(len(names))*squares)
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Policy is the policy's name.
func (r *Result) Policy() string { return r.policy }

// Hit is the share of the served prompts' tokens found in a cache.
func (r *Result) Hit() float64 { return r.hit }

// P99 is the 99th percentile of the time to the first token.
func (r *Result) P99() time.Duration { return r.p99 }

// Wasted is the share of prompt tokens computed again though another target
// had them cached.
func (r *Result) Wasted() float64 { return r.wasted }

// Refused is the share of requests that were refused.
func (r *Result) Refused() float64 { return r.refused }

// Served is the share of requests answered whole before their deadline.
func (r *Result) Served() float64 { return r.served }

// Fairness is Jain's index over the accounts that keep to their share.
func (r *Result) Fairness() float64 { return r.fairness }

// Goodput is the cost in tokens of the requests that were served.
func (r *Result) Goodput() float64 { return r.goodput }

// Account is the cost in tokens served to an account.
func (r *Result) Account(name string) float64 { return r.accounts[name] }

// Latest is the longest time that a caller waited for a refusal.
func (r *Result) Latest() time.Duration { return r.latest }

// String is the line of the table.
func (r *Result) String() string {
	return fmt.Sprintf("%s\t%s\t%.3f\t%s\t%s\t%.4f\t%.3f\t%.3f\t%.3f", r.name, r.policy, r.hit,
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.wasted, r.refused, r.served, r.fairness)
}
