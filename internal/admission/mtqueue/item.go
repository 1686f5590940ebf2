package mtqueue

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
)

// forever is the time left of a request without a deadline.
const forever = 365 * 24 * time.Hour

// requestCost is what a request costs beside its tokens, in tokens of prefill:
// one scheduling step of an engine takes some milliseconds, as 64 tokens do at
// 20,000 a second. It also bounds how many requests a backlog can hold.
const requestCost = 64

// key names one attempt of a request.
type key struct {
	run     string
	attempt uint32
}

// item is a request in the queue or in the batch. While it waits it is a node
// of its lane's tree.
type item struct {
	key     key
	work    *mustardtidev1.Work
	account string
	lane    int
	running bool

	matched float64
	need    sums
	prefix  string
	due     time.Time
	begun   time.Time
	expect  time.Time
	seen    bool
	firstAt time.Time
	known   bool // the output is learned, not the caller's bound

	tag    float64
	price  float64
	serial uint64
	rank   uint64
	left   *item
	right  *item
	sum    sums
}

// sums are the amounts that add up over requests. The target's rates turn them
// into time, so that a change of rate judges all waiting requests anew.
type sums struct {
	count  int
	fresh  float64 // prompt tokens to compute
	output float64 // expected output tokens
	prompt float64 // prompt tokens held, computed or not
	cost   float64 // cost in tokens of prefill
}

func (s sums) plus(o sums) sums {
	return sums{s.count + o.count, s.fresh + o.fresh, s.output + o.output, s.prompt + o.prompt, s.cost + o.cost}
}

func (s sums) minus(o sums) sums {
	return sums{s.count - o.count, s.fresh - o.fresh, s.output - o.output, s.prompt - o.prompt, s.cost - o.cost}
}

// item makes the queue's form of a request.
func (q *Queue) item(work *mustardtidev1.Work, matched uint64) *item {
	matched = min(matched, work.GetPrompt())
	left := forever
	if work.GetLeft() != nil {
		left = work.GetLeft().AsDuration()
	}
	q.serial++
	it := &item{
		key:     key{work.GetRun(), work.GetAttempt()},
		work:    work,
		account: work.GetAccount(),
		matched: float64(matched),
		due:     q.now.Add(left),
		serial:  q.serial,
		rank:    shuffle(q.serial),
	}
	if work.GetClass() == mustardtidev1.Class_LONG {
		it.lane = longLane
	}
	output, known := q.outputs.expect(work)
	it.known = known
	it.need = sums{
		count:  1,
		fresh:  float64(work.GetPrompt() - matched),
		output: output,
		prompt: float64(work.GetPrompt()),
	}
	it.need.cost = requestCost + it.need.fresh + it.need.output*q.limits.exchange
	it.price = it.need.cost / q.share(it.account)
	it.prefix = sharedMark(work, matched)
	return it
}

// own is the memory of an item beside its cached prefix.
func (it *item) own() float64 {
	if it.prefix == "" {
		return it.need.prompt + it.need.output
	}
	return it.need.fresh + it.need.output
}

// sharedMark is the deepest mark of the chain that the target has cached, as
// the name of the memory that requests behind the same prefix share.
func sharedMark(work *mustardtidev1.Work, matched uint64) string {
	marks := uint64(len(work.GetChain()) / mtchain.MarkSize)
	if marks == 0 || matched == 0 || work.GetPrompt() == 0 {
		return ""
	}
	depth := min(marks, (matched*marks+work.GetPrompt()-1)/work.GetPrompt())
	return string(work.GetChain()[(depth-1)*mtchain.MarkSize : depth*mtchain.MarkSize])
}

// before orders items by tag, the earlier first.
func (it *item) before(o *item) bool {
	if it.tag != o.tag {
		return it.tag < o.tag
	}
	return it.serial < o.serial
}

// shuffle turns a serial number into a tree priority; the mixer is
// splitmix64's, so that runs repeat.
func shuffle(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
