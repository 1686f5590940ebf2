// Package mtcustody decides which entry gives orders to engines whose sidecars are
// gone, and when it may.
//
// The failure it answers is the loss of sidecars: killed, frozen, cut off or never
// started, any number of them. Nobody brings their engines to new weights then, and
// every request there runs on old ones. Two instances that give one engine orders are
// as bad: an engine that does not compare fencing numbers carries out both. So one
// entry of the fleet takes all such engines, under an object in the store that is
// written under a condition; it waits until their sidecars have stopped by themselves;
// and it writes the object again right before each order, whose fencing number is that
// write's revision. A sidecar that speaks again gets its engine back after the lease.
package mtcustody

import (
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

const (
	// spreadTime is how long it takes until every entry has heard of a new version:
	// those that have not still let sidecars order.
	spreadTime = time.Second
	// ClearTime is how long a sidecar may order after an entry, or the store, has last
	// said that its engine is not taken: most of a second in which all greetings are
	// lost, and a second's greetings to an engine of another data centre.
	ClearTime = 1500 * time.Millisecond
	// flightTime is how long an order may be on its way: the bound of a call.
	flightTime = 1200 * time.Millisecond
	// expiry is how long another holder's object must stay unchanged, while nothing is
	// heard of that entry, before it is taken over: taking it needlessly costs a wait.
	expiry = time.Second
	// readTime is how often the store is read meanwhile.
	readTime = 500 * time.Millisecond
	// maxCharges is how many engines are kept that are no longer listed: one that has
	// crashed comes back at its address without a sidecar, and is not waited for again.
	// At 70 bytes each they are a seventh of what the store takes.
	maxCharges = 2000
	// validTime is how long after the begin of a write an order may follow: an entry
	// that was frozen between the two must not send it afterwards.
	validTime = 250 * time.Millisecond
)

// unread says that the store's object must be read before it can be written.
const unread = -1

// Custody is what one entry knows and decides. It is not safe for concurrent use.
type Custody struct {
	self    string
	address string
	lease   time.Duration

	object *fleetv1.Custody
	// before is the holder before the one that the object names.
	before string
	// revision is the store's of the object, 0 where there is none.
	revision int64
	read     time.Time
	// unchanged is since when another holder's object is seen at that revision.
	unchanged time.Time
	// renewed is when the last write began that succeeded.
	renewed time.Time
	// free is from when on each engine may be given orders, ordered when the last was
	// sent.
	free    map[string]time.Time
	ordered map[string]time.Time
}

// View is what an entry sees of the fleet.
type View struct {
	// Gone are the addresses of engines whose sidecars are not heard of.
	Gone []string
	// Heard says that the sidecar of an engine was heard of just now.
	Heard func(address string) bool
	// Listed says that there is an engine at an address.
	Listed func(address string) bool
	// First says that this entry is the one to take engines where nobody has.
	First bool
	// Live says that an entry is heard of, and that the store answers it.
	Live func(entry string) bool
}

// Step is what an entry should do next.
type Step interface{ step() }

// Rest is nothing.
type Rest struct{}

// Read is to read the object from the store.
type Read struct{}

// Write is to write the object where its revision is still the one named, 0 for none.
type Write struct {
	Custody  *fleetv1.Custody
	Revision int64
}

func (Rest) step()  {}
func (Read) step()  {}
func (Write) step() {}

// New returns the decisions of an entry that knows nothing; self is its instance,
// address where it takes datagrams, and lease the time within which two instances must
// not both order one engine.
func New(self, address string, lease time.Duration) *Custody {
	return &Custody{self: self, address: address, lease: lease, revision: unread, free: map[string]time.Time{}, ordered: map[string]time.Time{}}
}

// Known is the newest object that is known; nil where none is.
func (c *Custody) Known() *fleetv1.Custody { return c.object }

// Charge is what is known of the engine at an address; nil where no entry ever took it.
func (c *Custody) Charge(address string) *fleetv1.Charge {
	for _, charge := range c.object.GetCharges() {
		if charge.GetAddress() == address {
			return charge
		}
	}
	return nil
}

// Learn takes in what another entry knows. It reports whether that is newer.
func (c *Custody) Learn(object *fleetv1.Custody) bool {
	if object == nil || c.object != nil && object.GetVersion() <= c.object.GetVersion() {
		return false
	}
	// The revision that was read belongs to an older object.
	c.replace(object)
	c.revision = unread
	c.leave()
	return true
}

// leave forgets what only the holder knows where another holds the object.
func (c *Custody) leave() {
	if c.object.GetHolder() != c.self {
		clear(c.free)
		clear(c.ordered)
	}
}

// Seen takes in the store's object and its revision; nil and 0 where there is none. It
// reports whether a new version is known.
func (c *Custody) Seen(object *fleetv1.Custody, revision int64) bool {
	now := time.Now()
	if object == nil {
		object = &fleetv1.Custody{}
	}
	news := c.object == nil || object.GetVersion() > c.object.GetVersion()
	if revision != c.revision {
		c.unchanged = now
	}
	c.replace(object)
	c.revision, c.read = revision, now
	c.charged()
	return news
}

// charged sets from when on the engines may be ordered that are taken now, also by a
// write whose answer was lost or by an earlier process on this instance: when that was
// is not known.
func (c *Custody) charged() {
	c.leave()
	if !c.holds() {
		return
	}
	// The holder before this process is this instance, or another whose last order may
	// still be on its way.
	other := flightTime
	if c.before != c.self {
		other += c.lease
	}
	for _, charge := range c.object.GetCharges() {
		address := charge.GetAddress()
		if !charge.GetTaken() {
			delete(c.free, address)
			delete(c.ordered, address)
		} else if _, ok := c.free[address]; !ok {
			wait := c.wait()
			if charge.GetBegun() {
				// Its sidecar has stopped long ago.
				wait = other
			}
			c.free[address] = time.Now().Add(wait)
		}
	}
}

// holds says that this entry is the holder as far as it knows.
func (c *Custody) holds() bool {
	return c.revision != unread && c.object.GetHolder() == c.self
}

// Next is what to do now.
func (c *Custody) Next(v *View) Step {
	now := time.Now()
	switch {
	case c.holds():
		return c.keep(v, now)
	case c.object.GetHolder() == c.self:
		// A write got no answer: until its outcome is read nobody else can help.
		return Read{}
	case !v.First || len(v.Gone) == 0:
		return Rest{}
	case c.object.GetHolder() != "" && v.Live(c.object.GetHolder()):
		return Rest{}
	case c.revision == unread || now.Sub(c.read) > readTime:
		return Read{}
	case c.object.GetHolder() != "" && now.Sub(c.unchanged) < expiry:
		return Rest{}
	default:
		return c.take(v)
	}
}

// take is to become the holder, with all that the last one had taken: who of the
// sidecars lives shows afterwards.
func (c *Custody) take(v *View) Step {
	next := proto.CloneOf(c.object)
	next.Holder, next.Address = c.self, c.address
	c.add(next, v)
	return c.write(next)
}

// keep is to take engines, give them back and forget those that are no longer listed.
func (c *Custody) keep(v *View, now time.Time) Step {
	next := proto.CloneOf(c.object)
	next.Charges = nil
	changed := false
	for _, charge := range c.object.GetCharges() {
		switch {
		case !v.Listed(charge.GetAddress()) && len(c.object.GetCharges()) > maxCharges:
			changed = true
			continue
		case charge.GetTaken() && v.Heard(charge.GetAddress()) && c.calm(charge.GetAddress(), now):
			// Above the number of this entry's last write, and at most that of the next.
			charge = &fleetv1.Charge{Address: charge.GetAddress(), Fence: c.revision + 1}
			changed = true
		}
		next.Charges = append(next.Charges, charge)
	}
	changed = c.add(next, v) || changed
	if !changed {
		return Rest{}
	}
	return c.write(next)
}

// add takes the engines whose sidecars are gone.
func (c *Custody) add(next *fleetv1.Custody, v *View) bool {
	charges := map[string]*fleetv1.Charge{}
	for i, charge := range next.GetCharges() {
		next.Charges[i] = proto.CloneOf(charge)
		charges[charge.GetAddress()] = next.Charges[i]
	}
	changed := false
	for _, address := range v.Gone {
		switch charge := charges[address]; {
		case charge == nil:
			next.Charges = append(next.Charges, &fleetv1.Charge{Address: address, Taken: true})
			changed = true
		case !charge.GetTaken():
			charge.Taken, charge.Begun = true, false
			changed = true
		}
	}
	return changed
}

// calm says that the lease is over since the engine's last order by an entry.
func (c *Custody) calm(address string, now time.Time) bool {
	last := c.ordered[address]
	if last.IsZero() {
		// It may have been another entry's, right before this one took over.
		last = c.free[address].Add(-flightTime - c.lease)
	}
	return now.Sub(last) > c.lease+flightTime
}

// wait is how long an engine that was taken gets no orders: until its sidecar, which
// may live out of this entry's sight, has heard of it or has stopped by itself, and the
// lease has passed since an order that it gave last.
func (c *Custody) wait() time.Duration { return spreadTime + ClearTime + flightTime + c.lease }

// write is to write a new version.
func (c *Custody) write(next *fleetv1.Custody) Step {
	next.Version++
	next.Beat++
	return Write{Custody: next, Revision: c.revision}
}

// Renew is the write that must precede an order to an engine.
func (c *Custody) Renew(address string) Step {
	if !c.May(address) {
		return Rest{}
	}
	next := proto.CloneOf(c.object)
	for _, charge := range next.GetCharges() {
		if charge.GetAddress() == address {
			charge.Begun = true
		}
	}
	next.Beat++
	return Write{Custody: next, Revision: c.revision}
}

// Wrote takes in that a write succeeded which began at a time.
func (c *Custody) Wrote(object *fleetv1.Custody, revision int64, began time.Time) {
	c.replace(object)
	c.revision, c.read, c.renewed = revision, time.Now(), began
	c.charged()
}

// replace takes in another object, and remembers whose the last one was.
func (c *Custody) replace(object *fleetv1.Custody) {
	if c.object.GetHolder() != object.GetHolder() {
		c.before = c.object.GetHolder()
		if c.object == nil {
			c.before = object.GetHolder()
		}
	}
	c.object = object
}

// Failed takes in that a write failed or got no answer: it may still be carried out.
func (c *Custody) Failed() { c.revision = unread }

// May says that the engine is this entry's to order once it has renewed.
func (c *Custody) May(address string) bool {
	free, ok := c.free[address]
	return ok && c.holds() && c.Charge(address).GetTaken() && time.Now().After(free)
}

// Fence is the number for an order that is sent now; 0 where the last renewal is too
// long ago.
func (c *Custody) Fence(address string) int64 {
	if !c.May(address) || time.Since(c.renewed) > validTime {
		return 0
	}
	c.ordered[address] = time.Now()
	return c.revision
}
