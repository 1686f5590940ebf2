// Package mtcapacity divides a process's memory and descriptors among what callers can make it hold.
package mtcapacity

import (
	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Parts of the process's memory. What is left is for the program itself, what it knows of the fleet,
// connections to targets, and the collector: live bytes near the runtime's limit make it run without
// end.
const (
	runtimeShare    = 0.65
	requestShare    = 0.2
	connectionShare = 0.25
	unreadShare     = 0.1
)

// Parts of the descriptors that are not kept for files, in sixteenths. Each request that is served
// takes a caller's connection and one to a target. The rest is for the store, the listeners and calls
// to other entries.
const (
	fileDescriptors = 200
	parts           = 16
	callerParts     = 6
	idleParts       = 1
	peerParts       = 2
)

// sidePorts bounds the connections to a port that the platform or an operator asks now and then.
const sidePorts = 32

// Capacity is what one process may hold. Every figure is 0 where there is no bound.
type Capacity struct {
	memory  uint64
	sockets uint32
	room    *fleetv1.Room
}

// Of returns the capacity that a process's settings allow.
func Of(site *fleetv1.Site) Capacity {
	c := Capacity{memory: site.GetMemory(), room: site.GetRoom()}
	if site.GetDescriptors() > 0 {
		c.sockets = max(parts, site.GetDescriptors()-min(fileDescriptors, site.GetDescriptors()/2))
	}
	return c
}

// Runtime is the soft limit of the runtime's memory in bytes.
func (c Capacity) Runtime() int64 { return c.share(0, runtimeShare) }

// Requests are the bytes for requests and for answers that are held.
func (c Capacity) Requests() int64 { return c.share(c.room.GetRequests(), requestShare) }

// Connections are the bytes for callers' connections and for serving their requests.
func (c Capacity) Connections() int64 { return c.share(c.room.GetConnections(), connectionShare) }

// Unread are the bytes that may wait in callers' sockets.
func (c Capacity) Unread() int64 { return c.share(c.room.GetUnread(), unreadShare) }

// Callers is the number of callers' connections.
func (c Capacity) Callers() int {
	if given := c.room.GetCallers(); given > 0 {
		return int(given)
	}
	return c.part(callerParts)
}

// Idle is the number of connections to targets that are kept for later requests.
func (c Capacity) Idle() int { return c.part(idleParts) }

// Peers is the number of connections of other entries.
func (c Capacity) Peers() int { return c.part(peerParts) }

// Side is the number of connections to each of the other ports.
func (c Capacity) Side() int {
	if c.sockets == 0 {
		return sidePorts
	}
	return min(sidePorts, c.part(1))
}

func (c Capacity) share(given uint64, share float64) int64 {
	if given > 0 {
		return int64(given)
	}
	return int64(float64(c.memory) * share)
}

func (c Capacity) part(of int) int { return int(c.sockets) * of / parts }
