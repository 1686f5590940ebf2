package mtwire

import "sync"

// held is what was written to or by a paused party, as a kernel's socket
// buffers hold it. A writer must not wait here: it may hold a lock, and a
// goroutine that waits for a lock stops the paused clock.
type held struct {
	mu      sync.Mutex
	pending [][]byte
	running bool
}

// hold keeps p for later where either party is paused or earlier bytes still
// wait.
func (c *conn) hold(p []byte) bool {
	c.held.mu.Lock()
	defer c.held.mu.Unlock()
	if !c.held.running && !c.gate.isPaused() && !c.far.isPaused() {
		return false
	}
	c.held.pending = append(c.held.pending, append([]byte(nil), p...))
	if !c.held.running {
		c.held.running = true
		go c.release()
	}
	return true
}

// release writes what is held once both parties go on; closing drops it.
func (c *conn) release() {
	for {
		c.gate.wait(c.closed)
		c.far.wait(c.closed)
		c.held.mu.Lock()
		if len(c.held.pending) == 0 {
			c.held.running = false
			c.held.mu.Unlock()
			return
		}
		next := c.held.pending[0]
		c.held.pending = c.held.pending[1:]
		c.held.mu.Unlock()
		if _, err := c.Conn.Write(next); err != nil {
			c.drop()
			return
		}
	}
}

func (c *conn) drop() {
	c.held.mu.Lock()
	defer c.held.mu.Unlock()
	c.held.pending = nil
	c.held.running = false
}
