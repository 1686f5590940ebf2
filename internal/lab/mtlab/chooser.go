package mtlab

import (
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/lab/mtfake"
	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/placement/mthomes"
	"github.com/mustardtide/mustardtide/internal/placement/mtplace"
	"github.com/mustardtide/mustardtide/internal/placement/mtscore"
)

// chooser is one entry's policy.
type chooser interface{ isChooser() }

type (
	// placed is the product's placement.
	placed struct{ place *mtplace.Placer }
	// sampled is random choice.
	sampled struct{ random *rand.Rand }
	// rotated is round robin.
	rotated struct{ next int }
	// reported is least loaded by the engines' late reports.
	reported struct{ random *rand.Rand }
	// hashed is consistent hashing of the prompt's first marks.
	hashed struct{ homes *mthomes.Homes }
	// two is the power of two choices: two probes, the shorter queue.
	two struct{ random *rand.Rand }
	// recalled is SQ(d,N) of Anselmi and Dufour: d probes into a memory of N
	// targets' last seen queues, the shortest of which gets the request.
	recalled struct {
		random *rand.Rand
		seen   map[*mtfake.Target]int
	}
	// oracle knows all caches and queues without delay.
	oracle struct{}
)

func (*placed) isChooser()   {}
func (*sampled) isChooser()  {}
func (*rotated) isChooser()  {}
func (*reported) isChooser() {}
func (*hashed) isChooser()   {}
func (*two) isChooser()      {}
func (*recalled) isChooser() {}
func (*oracle) isChooser()   {}

const (
	// hashMarks is the prefix that prefixhash hashes: 4,096 tokens, past the
	// account's rules and into the dossier, which is the best depth for it here.
	hashMarks = 16
	// probes is d of SQ(d,N) and of sq2.
	probes = 2
)

func newChooser(l *Lab, number int, policy string) (chooser, error) {
	random := rand.New(rand.NewPCG(11, uint64(number)))
	switch policy {
	case "mustardtide":
		return newPlaced(l, number), nil
	case "random":
		return &sampled{random: random}, nil
	case "roundrobin":
		return &rotated{next: number * len(l.targets) / l.size.Entries()}, nil
	case "leastloaded":
		return &reported{random: random}, nil
	case "prefixhash":
		var names []string
		for _, t := range l.targets {
			names = append(names, t.Name())
		}
		return &hashed{homes: mthomes.New(names)}, nil
	case "sq2":
		return &two{random: random}, nil
	case "sqdn":
		return &recalled{random: random, seen: map[*mtfake.Target]int{}}, nil
	case "oracle":
		return &oracle{}, nil
	default:
		return nil, trace.BadParameter("unknown policy %q", policy)
	}
}

func newPlaced(l *Lab, number int) *placed {
	place := mtplace.New(l.size.Datacentre(number), uint64(number))
	var members []*mustardtidev1.Member
	for _, t := range l.targets {
		members = append(members, &mustardtidev1.Member{Name: t.Name(), Datacentre: l.size.Datacentre(t.Site())})
	}
	place.SetMembers(members)
	return &placed{place: place}
}

// choose calls then with the targets in the order to try them.
func (e *entry) choose(r *mtrequest.Request, run func([]*mtfake.Target, *mtchoice.Choice)) {
	then := func(order []*mtfake.Target) { run(order, nil) }
	switch c := e.chooser.(type) {
	case *placed:
		e.place(c, r, run)
	case *sampled:
		then(shuffled(c.random, e.lab.targets))
	case *rotated:
		c.next++
		then(turned(e.lab.targets, c.next))
	case *reported:
		order := shuffled(c.random, e.lab.targets)
		slices.SortStableFunc(order, func(a, b *mtfake.Target) int { return a.Reported() - b.Reported() })
		then(order)
	case *hashed:
		then(e.homes(c, r))
	case *two:
		e.probe(shuffled(c.random, e.lab.targets), func(probed, rest []*mtfake.Target, loads []int) {
			if loads[1] < loads[0] {
				probed = []*mtfake.Target{probed[1], probed[0]}
			}
			then(append(probed, rest...))
		})
	case *recalled:
		e.recall(c, then)
	case *oracle:
		then(e.foresee(r))
	}
}

func shuffled(random *rand.Rand, targets []*mtfake.Target) []*mtfake.Target {
	order := slices.Clone(targets)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

func turned(targets []*mtfake.Target, by int) []*mtfake.Target {
	by %= len(targets)
	return append(slices.Clone(targets[by:]), targets[:by]...)
}

func (e *entry) homes(c *hashed, r *mtrequest.Request) []*mtfake.Target {
	mark := r.Chain().At(min(hashMarks, r.Chain().Len()) - 1)
	var order []*mtfake.Target
	for _, home := range c.homes.Append(nil, mark, attempts) {
		order = append(order, e.lab.targets[home])
	}
	return order
}

// probe asks the first targets for their queues.
func (e *entry) probe(order []*mtfake.Target, then func(probed, rest []*mtfake.Target, loads []int)) {
	probed := slices.Clone(order[:probes])
	trip := max(e.trip(probed[0]), e.trip(probed[1]))
	loads := make([]int, probes)
	e.lab.loop.After(trip, func() {
		for i, t := range probed {
			loads[i] = t.Load()
		}
		e.lab.loop.After(trip, func() { then(probed, order[probes:], loads) })
	})
}

func (e *entry) recall(c *recalled, then func([]*mtfake.Target)) {
	order := shuffled(c.random, e.lab.targets)
	e.probe(order, func(probed, _ []*mtfake.Target, loads []int) {
		for i, t := range probed {
			c.seen[t] = loads[i]
		}
		slices.SortStableFunc(order, func(a, b *mtfake.Target) int { return c.length(a) - c.length(b) })
		c.seen[order[0]]++
		then(order)
	})
}

func (c *recalled) length(t *mtfake.Target) int {
	const never = 1 << 30
	if seen, ok := c.seen[t]; ok {
		return seen
	}
	return never
}

// foresee orders all targets by what they would in fact take.
func (e *entry) foresee(r *mtrequest.Request) []*mtfake.Target {
	type priced struct {
		target *mtfake.Target
		score  mtscore.Score
	}
	var all []priced
	for _, t := range e.lab.targets {
		uncached := r.Work().GetPrompt() - t.Promised(r.Chain())
		rate := t.Rate()
		all = append(all, priced{t, mtscore.Of(t.Wait(r.Left(e.lab.loop.Now()), r.Chain()), uncached, rate, 2*e.trip(t), 1)})
	}
	slices.SortStableFunc(all, func(a, b priced) int { return int(a.score - b.score) })
	var order []*mtfake.Target
	for _, p := range all {
		order = append(order, p.target)
	}
	return order
}
