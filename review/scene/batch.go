//go:build review

package main

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, from the users' sheets and site files: a step, what each running request
// adds to it, the prompt tokens that are read in a millisecond, and how many at most between two
// tokens of the other requests.
const (
	stepTime     = 6120 * time.Microsecond
	stepPerRun   = 23 * time.Microsecond
	tokensPerMS  = 32.4
	chunk        = 1024
	firstTime    = 20 * time.Millisecond
	tokensQueued = 1024
)

// batch works as a model engine does: in steps, each of which makes a token for every running
// request and reads a piece of the first waiting prompt.
type batch struct {
	mu      sync.Mutex
	cached  map[string]bool
	queue   []*work
	running []*work
	active  bool
}

// work is one request: prompt tokens that are left to read, and tokens that are left to make.
type work struct {
	ctx    context.Context
	read   int
	left   int
	tokens chan struct{}
}

func newBatch() *batch { return &batch{cached: map[string]bool{}} }

// add queues a request and returns the channel on which its tokens come.
func (b *batch) add(ctx context.Context, parts string, tokens int) <-chan struct{} {
	time.Sleep(firstTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &work{ctx: ctx, left: tokens, tokens: make(chan struct{}, tokensQueued)}
	for part := range strings.SplitSeq(parts, ",") {
		if !b.cached[part] {
			b.cached[part] = true
			_, size, _ := strings.Cut(part, ":")
			n, _ := strconv.Atoi(size)
			w.read += n
		}
	}
	b.queue = append(b.queue, w)
	if !b.active {
		b.active = true
		go b.run()
	}
	return w.tokens
}

// waiting is the number of prompts that are not read yet.
func (b *batch) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// run makes steps while there is work.
func (b *batch) run() {
	for {
		b.mu.Lock()
		b.drop()
		if len(b.queue)+len(b.running) == 0 {
			b.active = false
			b.mu.Unlock()
			return
		}
		piece := 0
		if len(b.queue) > 0 {
			piece = min(chunk, b.queue[0].read)
		}
		took := stepTime + time.Duration(len(b.running))*stepPerRun + time.Duration(float64(piece)/tokensPerMS*float64(time.Millisecond))
		b.mu.Unlock()
		time.Sleep(took)
		b.mu.Lock()
		b.step(piece)
		b.mu.Unlock()
	}
}

// drop forgets requests whose callers are gone.
func (b *batch) drop() {
	for _, list := range []*[]*work{&b.queue, &b.running} {
		kept := (*list)[:0]
		for _, w := range *list {
			if w.ctx.Err() == nil && w.left > 0 {
				kept = append(kept, w)
			}
		}
		*list = kept
	}
}

// step gives each running request its token, and lets the first prompt run once it is read.
func (b *batch) step(piece int) {
	for _, w := range b.running {
		if w.left > 0 {
			w.left--
			w.tokens <- struct{}{}
		}
	}
	if len(b.queue) == 0 {
		return
	}
	first := b.queue[0]
	first.read -= piece
	if first.read <= 0 {
		b.queue = b.queue[1:]
		b.running = append(b.running, first)
	}
}
