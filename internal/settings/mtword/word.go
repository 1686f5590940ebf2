// Package mtword is what a message says of its sender's settings.
package mtword

import (
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Word is a peer's word that it has a revision, and where it can be reached.
type Word struct {
	revision uint64
	source   string
	address  string
}

// New returns the word of a received message's sender; address is empty where
// the message did not tell it.
func New(peer *mustardtidev1.Peer, address string) Word {
	return Word{revision: peer.GetRevision(), source: peer.GetSource(), address: address}
}

// Revision is the one in force at the peer.
func (w Word) Revision() uint64 { return w.revision }

// Source is the peer's name.
func (w Word) Source() string { return w.source }

// Address is where the peer is reached, or empty.
func (w Word) Address() string { return w.address }
