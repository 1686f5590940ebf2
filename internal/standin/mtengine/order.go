package mtengine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// orders are what the engine was told to serve.
type orders struct {
	mu      sync.Mutex
	fenced  bool
	load    time.Duration
	watch   func(delta int)
	highest uint64
	loading int
	applied []uint64
}

// order is the body of POST /order.
type order struct {
	Number  uint64 `json:"number"`
	Model   string `json:"model"`
	Weights string `json:"weights"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// TakeOrders sets whether the engine refuses orders with an old number, how
// long it takes to load weights, and what is told of each load's begin (1) and
// end (-1).
func (e *Engine) TakeOrders(fenced bool, load time.Duration, watch func(delta int)) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	e.orders.fenced = fenced
	e.orders.load = load
	e.orders.watch = watch
}

// Applied lists the numbers of the orders in the order in which they took
// effect.
func (e *Engine) Applied() []uint64 {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]uint64(nil), e.orders.applied...)
}

// takeOrder carries an order out, also when its sender hangs up meanwhile.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var ask order
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, `{"error":{"message":"bad order"}}`, http.StatusBadRequest)
		return
	}
	done := make(chan bool, 1)
	go func() { done <- e.orders.carryOut(ask) }()
	select {
	case ok := <-done:
		if !ok {
			http.Error(w, `{"error":{"message":"old number"}}`, http.StatusConflict)
		}
	case <-r.Context().Done():
	}
}

func (e *Engine) showOrders(w http.ResponseWriter, _ *http.Request) {
	e.orders.mu.Lock()
	loading := e.orders.loading > 0
	e.orders.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]bool{"loading": loading})
}

// carryOut loads, where weights change, and then serves what was ordered.
func (o *orders) carryOut(ask order) bool {
	if !o.begin(ask) {
		return false
	}
	if ask.Model != "" || ask.Weights != "" || ask.Adapter != "" {
		o.tell(1)
		time.Sleep(o.load)
		o.tell(-1)
	}
	return o.end(ask)
}

func (o *orders) begin(ask order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fenced && ask.Number < o.highest {
		return false
	}
	o.highest = max(o.highest, ask.Number)
	o.loading++
	return true
}

// end lets the order take effect; an engine that checks numbers drops it if a
// newer one came while it loaded.
func (o *orders) end(ask order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading--
	if o.fenced && ask.Number < o.highest {
		return false
	}
	o.applied = append(o.applied, ask.Number)
	return true
}

func (o *orders) tell(delta int) {
	if o.watch != nil {
		o.watch(delta)
	}
}
