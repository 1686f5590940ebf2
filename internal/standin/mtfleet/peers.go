package mtfleet

import (
	"net/http"
	"slices"
)

// SetPeers names the internal addresses that processes started from now on
// have in their settings.
func (f *Fleet) SetPeers(addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = addresses
}

// AddPeer serves a handler as a process that is on no list and returns its
// internal address.
func (f *Fleet) AddPeer(name string, handler http.Handler) (string, error) {
	address := f.address()
	return address, f.serve(name, address, handler)
}

func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.peers)
}
