package mtfront

import (
	"context"
	"slices"
	"sync"
	"time"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtports"
)

const (
	// askMost is how many sidecars are asked at once: of four engines that look alike
	// the best is seldom a bad one.
	askMost = 4
	// holdersMost is how many holders that were found are asked beside them.
	holdersMost = 3
	// askRounds is how often the next best are asked where those asked first turn out
	// to be busy, or other holders were found.
	askRounds = 2
	// answerTime bounds the wait for their answers: the way to another data centre and
	// back, and little beside the time in which a prompt is read.
	answerTime = 4 * time.Millisecond
)

// questions are those that wait for their answers. The zero value is ready for use.
type questions struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]*question
}

// question is one to some processes about one request.
type question struct {
	query *mtboard.Query
	salts []string
	// part is the one whose keepers are asked; nil for a question to sidecars on their
	// engines.
	part *fleetv1.Part
	// sidecars are the targets whose sidecars are asked, by the names in open.
	sidecars map[string]string
	// open are the targets whose sidecars have not answered, or the keepers.
	open   map[string]bool
	done   chan struct{}
	number uint64
}

// begin opens a question.
func (q *questions) begin(asked *question) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		q.open = map[uint64]*question{}
	}
	q.last++
	q.open[q.last] = asked
	return q.last
}

// find returns the question that one of those asked answers; nil where nobody waits.
func (q *questions) find(number uint64, who string) *question {
	q.mu.Lock()
	defer q.mu.Unlock()
	if asked := q.open[number]; asked != nil && asked.open[who] {
		return asked
	}
	return nil
}

// answered notes that one of those asked has answered.
func (q *questions) answered(asked *question, who string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !asked.open[who] {
		return
	}
	delete(asked.open, who)
	if len(asked.open) == 0 {
		close(asked.done)
	}
}

// end closes a question and names those who have not answered. The list is the caller's: an
// answer that was found before changes nothing any more.
func (q *questions) end(number uint64) map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.open[number]
	delete(q.open, number)
	silent := asked.open
	asked.open = nil
	return silent
}

// consult brings what is known of the best targets, and of who holds the prompt's shared
// parts, up to this moment.
func (f *Front) consult(ctx context.Context, query *mtboard.Query) {
	lookups := f.board.Lookups(query)
	for range askRounds {
		targets := f.board.ProbeCandidates(query, askMost)
		for _, holder := range f.board.UnconfirmedHolders(query, holdersMost) {
			if !slices.ContainsFunc(targets, func(t *fleetv1.Target) bool { return t.GetId() == holder.GetId() }) {
				targets = append(targets, holder)
			}
		}
		if len(targets) == 0 && len(lookups) == 0 {
			return
		}
		f.askAll(ctx, query, targets, lookups)
		lookups = nil
	}
}

// askAll asks the sidecars of some targets, and the keepers of some parts, and waits for
// their answers for a moment.
func (f *Front) askAll(ctx context.Context, query *mtboard.Query, targets []*fleetv1.Target, lookups []*fleetv1.Part) {
	salts := f.board.Salts(query)
	var asked []*question
	if len(targets) > 0 {
		asked = append(asked, f.askTargets(query, salts, targets))
	}
	for _, part := range lookups {
		asked = append(asked, f.askKeepers(query, salts, part))
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	for _, q := range asked {
		select {
		case <-ctx.Done():
		case <-q.done:
		}
	}
	for _, q := range asked {
		f.endQuestion(q)
	}
}

func newQuestion(query *mtboard.Query, salts []string, part *fleetv1.Part) *question {
	return &question{
		query: query, salts: salts, part: part,
		sidecars: map[string]string{}, open: map[string]bool{}, done: make(chan struct{}),
	}
}

// askTargets asks the sidecars of some targets.
func (f *Front) askTargets(query *mtboard.Query, salts []string, targets []*fleetv1.Target) *question {
	asked := newQuestion(query, salts, nil)
	for _, target := range targets {
		asked.open[target.GetId()], asked.sidecars[target.GetId()] = true, target.GetId()
	}
	asked.number = f.questions.begin(asked)
	for _, target := range targets {
		hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: target.GetId(), Ask: asked.number, Salts: salts, Parts: query.SharedParts()}
		f.board.FillHello(hello)
		f.hello(mtports.SidecarWords.At(f.site, target.GetAddress()), hello)
	}
	f.trail.Metrics().Add("sidecars_asked_total", int64(len(targets)))
	return asked
}

// askKeepers asks the keepers of a part.
func (f *Front) askKeepers(query *mtboard.Query, salts []string, part *fleetv1.Part) *question {
	asked := newQuestion(query, salts, part)
	keepers := f.keepers(query, part)
	for _, k := range keepers {
		asked.open[k.name()] = true
		if b, ok := k.(sidecarKeeper); ok {
			asked.sidecars[k.name()] = b.target.GetId()
		}
	}
	asked.number = f.questions.begin(asked)
	for _, k := range keepers {
		k.send(f, &fleetv1.Seek{Ask: asked.number, Salts: salts, Part: part.GetId()})
	}
	return asked
}

// endQuestion closes a question, and notes the sidecars that have not answered.
func (f *Front) endQuestion(asked *question) {
	silent := f.questions.end(asked.number)
	f.trail.Metrics().Add("sidecars_silent_total", int64(len(silent)))
	for name := range silent {
		if target, ok := asked.sidecars[name]; ok {
			f.board.ProbeFailed(asked.query, target)
		}
	}
}

// answer takes in a sidecar's answer to a question.
func (f *Front) answer(state *fleetv1.State) {
	asked := f.questions.find(state.GetAsk(), state.GetTarget())
	if asked == nil {
		return
	}
	f.board.RecordHeld(asked.query, state.GetTarget(), asked.salts, state.GetFound())
	f.questions.answered(asked, state.GetTarget())
}

// sought takes in the answer of a keeper, by where it takes datagrams.
func (f *Front) sought(from string, sought *fleetv1.Sought) {
	asked := f.questions.find(sought.GetAsk(), from)
	if asked == nil {
		return
	}
	f.board.AddHolders(asked.query, asked.part, sought.GetHolders())
	f.questions.answered(asked, from)
}
