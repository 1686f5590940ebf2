package mtfront

import (
	"context"
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
	// askRounds is how often the next best are asked where those asked first turn out
	// to be busy.
	askRounds = 2
	// answerTime bounds the wait for their answers: the way to another data centre and
	// back, and little beside the time in which a prompt is read.
	answerTime = 4 * time.Millisecond
)

// questions are those to sidecars that wait for their answers. The zero value is
// ready for use.
type questions struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]*question
}

// question is one to some sidecars.
type question struct {
	// open are the targets whose sidecars have not answered.
	open map[string]bool
	done chan struct{}
}

// begin opens a question.
func (q *questions) begin(targets []*fleetv1.Target) (uint64, *question) {
	asked := &question{open: map[string]bool{}, done: make(chan struct{})}
	for _, target := range targets {
		asked.open[target.GetId()] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		q.open = map[uint64]*question{}
	}
	q.last++
	q.open[q.last] = asked
	return q.last, asked
}

// answer takes in that a sidecar has answered.
func (q *questions) answer(number uint64, target string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.open[number]
	if asked == nil || !asked.open[target] {
		return
	}
	delete(asked.open, target)
	if len(asked.open) == 0 {
		close(asked.done)
	}
}

// end closes a question and names those who have not answered.
func (q *questions) end(number uint64) map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.open[number]
	delete(q.open, number)
	return asked.open
}

// consult brings what is known of the best targets up to this moment.
func (f *Front) consult(ctx context.Context, query *mtboard.Query) {
	for range askRounds {
		targets := f.board.Doubtful(query, askMost)
		if len(targets) == 0 {
			return
		}
		for target := range f.askAll(ctx, targets) {
			f.board.Silent(query, target)
		}
	}
}

// askAll asks the sidecars of some targets, and returns those who have not answered
// in time.
func (f *Front) askAll(ctx context.Context, targets []*fleetv1.Target) map[string]bool {
	number, asked := f.questions.begin(targets)
	for _, target := range targets {
		hello := &fleetv1.Hello{Entry: f.site.GetName(), Target: target.GetId(), Ask: number}
		f.board.Fill(hello)
		f.hello(mtports.SidecarWords.At(f.site, target.GetAddress()), hello)
	}
	f.trail.Metrics().Add("sidecars_asked_total", int64(len(targets)))
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-asked.done:
	case <-timer.C:
	}
	silent := f.questions.end(number)
	f.trail.Metrics().Add("sidecars_silent_total", int64(len(silent)))
	return silent
}
