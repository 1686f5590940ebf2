package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// noDeadline is the time left of a request without a deadline.
const noDeadline = 365 * 24 * time.Hour

// requestCost is the fixed cost of a request besides its tokens, in prefill tokens. One
// scheduling step of an engine takes a few milliseconds, the time of 64 tokens at 20,000 tokens
// a second. It also bounds the number of requests in a backlog.
const requestCost = 64

// key identifies one attempt of a request.
type key struct {
	run     string
	attempt uint32
}

// item is a queued or running request. While queued, it is a node of its lane's treap.
type item struct {
	key     key
	work    *mustardtidev1.Work
	account string
	lane    int
	running bool

	matched        float64
	demand         sums
	prefix         string
	deadline       time.Time
	startedAt      time.Time
	expectedEnd    time.Time
	hasFirstOutput bool
	firstOutputAt  time.Time
	outputLearned  bool // demand.output is learned, not the caller's bound

	tag          float64
	weightedCost float64
	serial       uint64
	priority     uint64
	left         *item
	right        *item
	sum          sums
}

// sums are amounts that are added up over requests. They are kept as token counts and converted
// to time with the target's current rates, so that a change of rate applies to all waiting
// requests.
type sums struct {
	count  int
	fresh  float64 // prompt tokens to compute
	output float64 // expected output tokens
	prompt float64 // all prompt tokens, cached or not
	cost   float64 // cost in prefill tokens
}

func (s sums) plus(o sums) sums {
	return sums{s.count + o.count, s.fresh + o.fresh, s.output + o.output, s.prompt + o.prompt, s.cost + o.cost}
}

func (s sums) minus(o sums) sums {
	return sums{s.count - o.count, s.fresh - o.fresh, s.output - o.output, s.prompt - o.prompt, s.cost - o.cost}
}

// newItem builds the queue item of a request.
func (q *Queue) newItem(work *mustardtidev1.Work, matched uint64) *item {
	matched = min(matched, work.GetPrompt())
	timeLeft := noDeadline
	if work.GetLeft() != nil {
		timeLeft = work.GetLeft().AsDuration()
	}
	q.serial++
	it := &item{
		key:      key{work.GetRun(), work.GetAttempt()},
		work:     work,
		account:  work.GetAccount(),
		matched:  float64(matched),
		deadline: q.now.Add(timeLeft),
		serial:   q.serial,
		priority: treapPriority(q.serial),
	}
	if work.GetClass() == mustardtidev1.Class_LONG {
		it.lane = longLane
	}
	output, learned := q.outputs.estimate(work)
	it.outputLearned = learned
	it.demand = sums{
		count:  1,
		fresh:  float64(work.GetPrompt() - matched),
		output: output,
		prompt: float64(work.GetPrompt()),
	}
	it.demand.cost = requestCost + it.demand.fresh + it.demand.output*q.limits.outputTokenCost
	it.weightedCost = it.demand.cost / q.accountWeight(it.account)
	it.prefix = sharedPrefixKey(work, matched)
	return it
}

// ownMemory returns the memory of an item without its cached prefix.
func (it *item) ownMemory() float64 {
	if it.prefix == "" {
		return it.demand.prompt + it.demand.output
	}
	return it.demand.fresh + it.demand.output
}

// sharedPrefixKey returns the deepest prefix mark of the chain that the target has cached. It
// identifies the memory that requests with this prefix share.
func sharedPrefixKey(work *mustardtidev1.Work, matched uint64) string {
	marks := uint64(len(work.GetChain()) / mtchain.MarkSize)
	if marks == 0 || matched == 0 || work.GetPrompt() == 0 {
		return ""
	}
	depth := min(marks, (matched*marks+work.GetPrompt()-1)/work.GetPrompt())
	return string(work.GetChain()[(depth-1)*mtchain.MarkSize : depth*mtchain.MarkSize])
}

// before reports whether an item comes before another: by tag, then in order of arrival.
func (it *item) before(o *item) bool {
	if it.tag != o.tag {
		return it.tag < o.tag
	}
	return it.serial < o.serial
}

// treapPriority derives a treap priority from a serial number. It uses the splitmix64 mixer
// instead of a random source, so that runs are reproducible.
func treapPriority(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
