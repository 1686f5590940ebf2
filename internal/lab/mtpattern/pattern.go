// Package mtpattern reads load patterns from data files and turns them into
// arrivals.
package mtpattern

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/lab/mtrequest"
)

// Pattern is one load pattern. Rates are per engine, so that a pattern fits
// fleets of any size.
type Pattern struct {
	name string
	file file
}

type file struct {
	Story   string        `yaml:"story"`
	Seed    uint64        `yaml:"seed"`
	Length  time.Duration `yaml:"length"`
	Warm    time.Duration `yaml:"warm"`
	Streams []stream      `yaml:"streams"`
	Slow    slow          `yaml:"slow"`
}

// stream is one kind of requests.
type stream struct {
	// Accounts ask in turn by weight of their order, the first most.
	Accounts int     `yaml:"accounts"`
	First    int     `yaml:"first"`
	Skew     float64 `yaml:"skew"`
	Loud     bool    `yaml:"loud"`
	// Rate is requests a second and engine.
	Rate     float64       `yaml:"rate"`
	From     time.Duration `yaml:"from"`
	To       time.Duration `yaml:"to"`
	Class    string        `yaml:"class"`
	Deadline time.Duration `yaml:"deadline"`
	Output   [2]int        `yaml:"output"`
	Levels   []level       `yaml:"levels"`
}

// level is one level of nested prompts.
type level struct {
	// Count is the number of different texts below one text of the level above;
	// 0: each request has its own. Scale makes it a number per engine.
	Count int     `yaml:"count"`
	Scale float64 `yaml:"scale"`
	// Skew is the exponent of the texts' popularity (Zipf); 0: all the same.
	Skew float64 `yaml:"skew"`
	// Marks is the least and the greatest length.
	Marks [2]int `yaml:"marks"`
	// Base sets a stream's texts apart from another stream's.
	Base uint64 `yaml:"base"`
}

// slow is a target that runs at a fraction of its speed for a while.
type slow struct {
	Target int           `yaml:"target"`
	Factor float64       `yaml:"factor"`
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
}

// Parse reads a pattern; keys that it does not know are refused.
func Parse(name string, data []byte) (*Pattern, error) {
	p := &Pattern{name: name}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&p.file); err != nil {
		return nil, trace.BadParameter("pattern %s: %v", name, err)
	}
	return p, nil
}

// Name is the pattern's name.
func (p *Pattern) Name() string { return p.name }

// Warm is the time from which arrivals are judged.
func (p *Pattern) Warm() time.Duration { return p.file.Warm }

// Length is the time of the last arrival.
func (p *Pattern) Length() time.Duration { return p.file.Length }

// Slowness is the factor by which the target of a number runs slower at a time.
func (p *Pattern) Slowness(target int, at time.Duration) float64 {
	s := p.file.Slow
	if s.Factor == 0 || s.Target != target || at < s.From || at >= s.To {
		return 1
	}
	return s.Factor
}

// Without returns the pattern without its loud streams and slow target, for
// comparison.
func (p *Pattern) Without() *Pattern {
	calm := &Pattern{name: p.name, file: p.file}
	calm.file.Slow = slow{}
	calm.file.Streams = slices.DeleteFunc(slices.Clone(p.file.Streams), func(s stream) bool { return s.Loud })
	return calm
}

// Arrivals makes the pattern's requests for a number of engines, in the order
// of their times. They are the same at each call.
func (p *Pattern) Arrivals(engines int) []*mtrequest.Request {
	var all []*mtrequest.Request
	for i := range p.file.Streams {
		all = append(all, p.stream(uint64(i), engines)...)
	}
	slices.SortStableFunc(all, func(a, b *mtrequest.Request) int { return int(a.At() - b.At()) })
	return all
}

func (p *Pattern) stream(number uint64, engines int) []*mtrequest.Request {
	s := &p.file.Streams[number]
	random := rand.New(rand.NewPCG(p.file.Seed, number))
	to := s.To
	if to == 0 {
		to = p.file.Length
	}
	var list []*mtrequest.Request
	rate := s.Rate * float64(engines)
	for at := s.From.Seconds(); ; {
		at += random.ExpFloat64() / rate
		if at >= to.Seconds() {
			return list
		}
		run := strconv.FormatUint(number, 10) + "-" + strconv.Itoa(len(list))
		list = append(list, s.request(random, run, time.Duration(at*float64(time.Second)), engines))
	}
}

func (s *stream) request(random *rand.Rand, run string, at time.Duration, engines int) *mtrequest.Request {
	number := s.First + zipf(random, s.Accounts, s.Skew)
	account := "account-" + strconv.Itoa(number)
	names := make([]uint64, len(s.Levels))
	lengths := make([]int, len(s.Levels))
	for i, l := range s.Levels {
		names[i], lengths[i] = l.text(random, engines, uint64(number))
	}
	chain := mtrequest.Chain(account, names, lengths)
	output := between(random, s.Output)
	work := &mustardtidev1.Work{
		Run:     run,
		Attempt: 1,
		Account: account,
		Service: "lab",
		Chain:   chain.Bytes(),
		Prompt:  uint64(chain.Len() * mtrequest.SpanTokens),
		Output:  uint64(output),
		Class:   mustardtidev1.Class_SHORT,
		Left:    durationpb.New(s.Deadline),
	}
	if s.Class == "long" {
		work.Class = mustardtidev1.Class_LONG
	}
	return mtrequest.New(at, work, chain, s.Loud)
}

// text picks one of the level's texts; its length hangs on its name and on
// the account.
func (l *level) text(random *rand.Rand, engines int, account uint64) (uint64, int) {
	count := l.Count + int(l.Scale*float64(engines))
	if count == 0 {
		return random.Uint64(), between(random, l.Marks)
	}
	name := l.Base + uint64(zipf(random, count, l.Skew))
	own := rand.New(rand.NewPCG(name, account))
	return name, between(own, l.Marks)
}

func between(random *rand.Rand, limits [2]int) int {
	return limits[0] + random.IntN(limits[1]-limits[0]+1)
}

// zipf picks a number below count; number i has weight 1/(i+1)^skew.
func zipf(random *rand.Rand, count int, skew float64) int {
	total := 0.0
	for i := range count {
		total += math.Pow(float64(i+1), -skew)
	}
	at := random.Float64() * total
	for i := range count {
		at -= math.Pow(float64(i+1), -skew)
		if at < 0 {
			return i
		}
	}
	return count - 1
}
