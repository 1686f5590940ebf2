package mtfake

import "time"

// queue is first come, first served, with a bounded batch.
type queue struct {
	slots   int
	running int
	waiting []*job
}

func newQueue(slots int) *queue { return &queue{slots: slots} }

func (q *queue) len() int { return len(q.waiting) }

// add takes a job unless its deadline passes while it waits.
func (q *queue) add(j *job, wait time.Duration) bool {
	if wait > j.request.Work().GetLeft().AsDuration() {
		return false
	}
	q.waiting = append(q.waiting, j)
	return true
}

func (q *queue) next(time.Duration) []*job {
	var started []*job
	for q.running < q.slots && len(q.waiting) > 0 {
		started = append(started, q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
	return started
}

// expired gives the waiting jobs whose deadline has passed.
func (q *queue) expired(now time.Duration) []*job {
	var late []*job
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if now > j.request.At()+j.request.Work().GetLeft().AsDuration() {
			late = append(late, j)
			continue
		}
		kept = append(kept, j)
	}
	q.waiting = kept
	return late
}

func (q *queue) done(*job) { q.running-- }
