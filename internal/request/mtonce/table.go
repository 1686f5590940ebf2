// Package mtonce knows which keys this process has handed to its target, and
// keeps their answers for resends.
package mtonce

import (
	"bytes"
	"container/list"
	"context"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtbuffer"
)

// Bounds of the memory. A resend comes within minutes, mostly seconds.
const (
	// answerLimit is the largest answer kept; plain services give small ones.
	answerLimit = 256 << 10
	// keptBytes bounds all kept answers, a quarter of a sidecar's 32 MB.
	keptBytes = 8 << 20
	// keptKeys bounds the keys, about 200 bytes each.
	keptKeys = 20_000
	// entrySize is what a key costs beside its answer.
	entrySize = 200
	// maxSpare bounds the given-up sendings of a key; more are not reused.
	maxSpare = 16
)

// entry is one key of this process.
type entry struct {
	id     string
	print  []byte
	begun  bool
	spare  []string
	asking chan struct{}
	answer *mtbuffer.Buffer
	size   int
	place  *list.Element
	// ended is the place among the answers that may be freed.
	ended *list.Element
}

// Table is safe for concurrent use. What it forgets is refused later, never
// run again: a record in the claims without an entry here counts as begun.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	order   *list.List
	ended   *list.List
	size    int
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[string]*entry{}, order: list.New(), ended: list.New()}
}

// Begun says whether this process has handed a key's request to the target,
// with the kept answer, or nil where it is no longer kept, and whether body
// is that request's.
func (t *Table) Begun(id, body []byte) (answer *mtbuffer.Buffer, same, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[string(id)]
	if e == nil || !e.begun {
		return nil, false, false
	}
	return e.answer, bytes.Equal(e.print, body), true
}

// Enter makes its caller the one who asks for a key's claim; it waits while
// another does. It must be followed by Start or Yield.
func (t *Table) Enter(ctx context.Context, id []byte) error {
	for {
		wait := t.enter(id)
		if wait == nil {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (t *Table) enter(id []byte) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	if e.asking != nil {
		return e.asking
	}
	e.asking = make(chan struct{})
	return nil
}

// Start takes a key for its one run. sending is the asker's, and holder the
// sending that the claim's record names: it must be the asker's own, or one
// that gave its claim up here. Start is false where neither holds, or where
// the key was begun.
func (t *Table) Start(id, body []byte, sending, holder string) (*mtbuffer.Buffer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	t.leave(e)
	if e.begun || (sending != holder && !slices.Contains(e.spare, holder)) {
		return nil, false
	}
	e.begun = true
	e.print = body
	e.answer = mtbuffer.New(answerLimit)
	return e.answer, true
}

// Yield says that a sending does not run the key: a record of its claim, now
// or later, is for the next asker of this process. A record of any other
// sending may have run before this table forgot it, and is not.
func (t *Table) Yield(id []byte, sending string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	t.leave(e)
	if len(e.spare) < maxSpare {
		e.spare = append(e.spare, sending)
	}
}

// Undo says that a begun request provably never reached the target; holder is
// the sending that the claim's record names.
func (t *Table) Undo(id []byte, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.begun = false
	e.spare = append(e.spare, holder)
	t.drop(e)
}

// Keep adds one step of a key's answer. An answer that is too large is not
// kept; who reads it meanwhile gets the given end.
func (t *Table) Keep(id []byte, f *mustardtidev1.Frame, tooLarge *mustardtidev1.Finish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[string(id)]
	if e == nil || e.answer == nil {
		return
	}
	switch step := f.GetStep().(type) {
	case *mustardtidev1.Frame_Head:
		e.answer.Start(step.Head)
	case *mustardtidev1.Frame_Data:
		if e.size+len(step.Data) > answerLimit {
			e.answer.Finish(tooLarge)
			t.drop(e)
			return
		}
		// The limit leaves room, so that this never waits.
		_ = e.answer.Write(context.Background(), step.Data)
		e.size += len(step.Data)
		t.size += len(step.Data)
	case *mustardtidev1.Frame_Finish:
		e.answer.Finish(step.Finish)
		e.ended = t.ended.PushBack(e)
	}
	t.trim()
}

// Fail ends a key's run without a whole answer: who reads it now gets one
// word, later resends another.
func (t *Table) Fail(id []byte, now, later *mustardtidev1.Finish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[string(id)]
	if e == nil || e.answer == nil {
		return
	}
	e.answer.Finish(now)
	t.drop(e)
	e.answer = mtbuffer.New(answerLimit)
	e.answer.Finish(later)
}

// entry finds or makes the entry of an id. The lock is held.
func (t *Table) entry(id []byte) *entry {
	if e := t.entries[string(id)]; e != nil {
		return e
	}
	e := &entry{id: string(id)}
	e.place = t.order.PushBack(e)
	t.entries[e.id] = e
	t.size += entrySize
	t.trim()
	return e
}

func (t *Table) leave(e *entry) {
	if e.asking != nil {
		close(e.asking)
		e.asking = nil
	}
}

// drop frees an answer but not the word that its key was begun.
func (t *Table) drop(e *entry) {
	t.size -= e.size
	e.size = 0
	e.answer = nil
	if e.ended != nil {
		t.ended.Remove(e.ended)
		e.ended = nil
	}
}

// trim frees the oldest answers, then the oldest keys, that have ended. The
// lock is held.
func (t *Table) trim() {
	for t.size > keptBytes && t.ended.Len() > 0 {
		t.drop(t.ended.Front().Value.(*entry))
	}
	for e := t.order.Front(); e != nil && t.order.Len() > keptKeys; {
		old := e.Value.(*entry)
		e = e.Next()
		if old.idle() {
			t.drop(old)
			t.size -= entrySize
			t.order.Remove(old.place)
			delete(t.entries, old.id)
		}
	}
}

func (e *entry) idle() bool {
	return e.asking == nil && (e.answer == nil || e.answer.End() != nil)
}

// Replay copies a kept answer, from its start to its end, as it comes.
func Replay(ctx context.Context, answer *mtbuffer.Buffer, take func(*mustardtidev1.Frame) error) (*mustardtidev1.Finish, error) {
	var offset uint64
	headed := false
	for {
		head, _, wake := answer.Head()
		if head != nil && !headed {
			headed = true
			if err := take(&mustardtidev1.Frame{Step: &mustardtidev1.Frame_Head{Head: head}}); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		data, finish, next, err := answer.Next(offset)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		switch {
		case len(data) > 0:
			offset += uint64(len(data))
			if err := take(&mustardtidev1.Frame{Step: &mustardtidev1.Frame_Data{Data: data}}); err != nil {
				return nil, trace.Wrap(err)
			}
			continue
		case finish != nil:
			return finish, nil
		}
		select {
		case <-wake:
		case <-next:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}
