// Package mtports gives the addresses at which the system's own processes hear
// each other. Entry and sidecar of one deployment have the same first port; each
// kind of listener has its place after it.
package mtports

import (
	"net"
	"strconv"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Port is one kind of listener.
type Port uint32

const (
	// EntryWords takes datagrams to an entry.
	EntryWords Port = iota
	// SidecarWords takes datagrams to a sidecar.
	SidecarWords
	// EntryCalls takes calls from other entries.
	EntryCalls
)

// At is where a process of the deployment listens, by an address on its
// instance: a bare one, or one with any port.
func (p Port) At(site *fleetv1.Site, address string) string {
	return net.JoinHostPort(Host(address), strconv.Itoa(int(site.GetFirstport()+uint32(p))))
}

// Host is the instance's part of an address, with or without a port.
func Host(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return ip
}
