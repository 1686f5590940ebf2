package mtengine

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/mustardtide/mustardtide/internal/standin/mtblocks"
)

// downTime is how long a crashed engine takes to come back.
const downTime = 3 * time.Second

// life is one incarnation of the engine's program.
type life struct {
	ctx   context.Context
	end   context.CancelFunc
	start time.Time
}

func newLife(start time.Time) *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{ctx: ctx, end: end, start: start}
}

// CrashOn lets the engine crash whenever it has computed a prompt that holds
// the marker.
func (e *Engine) CrashOn(marker string) { e.marker.Store(&marker) }

// Crashes counts the engine's crashes.
func (e *Engine) Crashes() int64 { return e.crashes.Load() }

// Crash breaks every open connection; a moment later the engine is back with an
// empty cache, as a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.Add(1)
	old := e.life.Swap(newLife(time.Now().Add(downTime)))
	old.end()
	e.cache = mtblocks.New(e.blocks)
	e.events.reset()
}

// poisoned says whether a prompt crashes the engine.
func (e *Engine) poisoned(prompt []byte) bool {
	marker := e.marker.Load()
	return marker != nil && bytes.Contains(prompt, []byte(*marker))
}

// ServeHTTP answers one call. A call of an incarnation that has crashed
// meanwhile, or that meets one not yet up, has its connection broken.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := e.life.Load()
	if time.Now().Before(now.start) {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(now.ctx, cancel)()
	e.mux.ServeHTTP(w, r.WithContext(ctx))
	if now.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}
