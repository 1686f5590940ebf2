package mtfollow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gravitational/trace"

	"github.com/mustardtide/mustardtide/internal/members/mtfollow"
)

// source is a store of three pages whose calls fail now and then.
type source struct {
	pages   map[string][]string
	next    map[string]string
	calls   int
	refuse  func(call int) bool
	watched []int64
}

func (s *source) List(_ context.Context, after string, _ bool) ([]string, string, int64, error) {
	s.calls++
	if s.refuse(s.calls) {
		return nil, "", 0, trace.LimitExceeded("too many calls")
	}
	return s.pages[after], s.next[after], int64(10 + s.calls), nil
}

func (s *source) Watch(ctx context.Context, after int64, _ time.Duration) ([]string, int64, error) {
	s.watched = append(s.watched, after)
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// sink notes what it gets.
type sink struct {
	lists [][]string
	pages [][]string
	away  int
}

func (s *sink) Wait() time.Duration            { return time.Second }
func (s *sink) Pause() time.Duration           { return 0 }
func (s *sink) Retry() time.Duration           { return 400 * time.Millisecond }
func (s *sink) Shorter() <-chan struct{}       { return nil }
func (s *sink) Await(context.Context)          {}
func (s *sink) Revision() int64                { return 0 }
func (s *sink) Replace(list []string, _ int64) { s.lists = append(s.lists, list) }
func (s *sink) Page(list []string)             { s.pages = append(s.pages, list) }
func (s *sink) Changes(_ []string, _ int64)    {}
func (s *sink) Away(error)                     { s.away++ }
func (s *sink) Back()                          {}

// A whole fleet restarts, and the store turns two of three calls away. A list in
// pages must come to its end all the same; begun anew at each refusal it needed
// three good calls in a row. What changes between the pages must not be missed.
func TestListGoesOnAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		from := &source{
			pages:  map[string][]string{"": {"a"}, "a": {"b"}, "b": {"c"}},
			next:   map[string]string{"": "a", "a": "b", "b": ""},
			refuse: func(call int) bool { return call%3 != 0 },
		}
		into := &sink{}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(mtfollow.Follow(ctx, from, into)).To(MatchError(context.DeadlineExceeded))
		g.Expect(into.lists).To(Equal([][]string{{"a", "b", "c"}}))
		g.Expect(into.pages).To(Equal([][]string{{"a"}, {"b"}}), "before the list is complete, each once")
		g.Expect(from.watched).To(Equal([]int64{13}), "from the first page's revision")
	})
}
