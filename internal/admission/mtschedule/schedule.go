// Package mtschedule says when refused callers should return: it divides the rate at which a
// service has begun responses through this entry into short slots and books them.
//
// Without it, callers that were refused together return together, and find the same queue. Booked
// slots spread them over the time in which the service can begin to answer them. Each class of
// requests has slots of its own, by the rate of its own responses: a class that is admitted more
// often must not offer its room to another.
package mtschedule

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// slotTime is the length of a slot.
	slotTime = 50 * time.Millisecond
	// slotCount bounds how far ahead slots are booked: 12.8 s.
	slotCount = 256
	// minLead is the least time to a slot: a promise must have reached its sidecars, and queues
	// have advanced by some prompts.
	minLead = 100 * time.Millisecond
	// earlyTime and lateTime are how long before its slot and after it a caller may return: timers
	// and networks are that exact.
	earlyTime = 50 * time.Millisecond
	lateTime  = 300 * time.Millisecond
	// leftFraction is the part of their remaining time after which callers return at the latest.
	leftFraction = 3
	// bookedShare is the part of the rate that is booked. The rest is for new requests.
	bookedShare = 0.5
	// minCapacity is booked in a slot at least, in requests: one in a second, so that a class
	// without recent responses is still given different times.
	minCapacity = 0.05
	// evenSlots is the number of slots over which bookings keep to the capacity, as that of one
	// slot is mostly no whole number.
	evenSlots = 8
	// bucketTime and bucketCount are the times over which responses are counted; half of the
	// buckets give the rate, the other half the one before.
	bucketTime  = 500 * time.Millisecond
	bucketCount = 8
	rateBuckets = bucketCount / 2
	// deviations is by how many standard deviations of the two counts' difference the rate must have
	// fallen to count as a loss of capacity: small entries begin some three responses in a second.
	// Two of the first count took the noise of entries with 15 responses a second for a loss.
	deviations = 3
)

// Schedule is one entry's schedule of one service. It is not safe for concurrent use.
type Schedule struct {
	began   time.Time
	classes map[int32]*class
}

// class is the schedule of one class of requests.
type class struct {
	// counts are the responses begun, by the bucket's number modulo the ring's length.
	counts [bucketCount + 1]int
	bucket int64
	slots  [slotCount]slot
}

// slot counts what was booked in the slot of a number.
type slot struct {
	number int64
	booked int
}

// New returns a schedule without bookings.
func New() *Schedule { return &Schedule{began: time.Now(), classes: map[int32]*class{}} }

// Begin counts a response begun to a request of a class.
func (s *Schedule) Begin(of int32) {
	c := s.class(of)
	c.counts[c.bucket%int64(len(c.counts))]++
}

// Book books the first slot with room for a request of a class, at most a third of its caller's
// remaining time away, else the last one there. It returns the times until a moment in the slot,
// and until the begin and end of the window in which the caller may return.
func (s *Schedule) Book(of int32, left time.Duration) (again, opens, closes time.Duration) {
	c, now := s.class(of), time.Since(s.began)
	first := int64((now + minLead + slotTime - 1) / slotTime)
	last := max(first, int64((now+left/leftFraction)/slotTime)-1)
	last = min(last, int64(now/slotTime)+slotCount-1)
	capacity := c.capacity()
	number := first
	for number < last && !c.hasRoom(number, capacity) {
		number++
	}
	c.at(number).booked++
	until := time.Duration(number)*slotTime - now
	opens = until - earlyTime
	return Again(opens), opens, until + slotTime + lateTime
}

// Again returns the time until a moment in the slot of a window that opens after a time.
func Again(opens time.Duration) time.Duration { return opens + earlyTime + rand.N(slotTime) }

// Keep draws whether a booking is kept. It always is unless the rate of all classes together has
// fallen, as after a loss of targets: then as large a part of the bookings is kept as is left of
// the rate. That of one class also falls where fewer of its requests are admitted.
func (s *Schedule) Keep() bool {
	before, now := 0.0, 0.0
	for of := range s.classes {
		c := s.class(of)
		before += float64(c.sum(bucketCount, rateBuckets))
		now += float64(c.sum(rateBuckets, 0))
	}
	if now >= before-deviations*math.Sqrt(before+now) {
		return true
	}
	return rand.Float64()*before < now
}

// class returns the schedule of a class, with its counts up to date.
func (s *Schedule) class(of int32) *class {
	c := s.classes[of]
	if c == nil {
		c = &class{}
		s.classes[of] = c
	}
	current := int64(time.Since(s.began) / bucketTime)
	for c.bucket = max(c.bucket, current-int64(len(c.counts))); c.bucket < current; {
		c.bucket++
		c.counts[c.bucket%int64(len(c.counts))] = 0
	}
	return c
}

// sum returns the responses begun in the buckets that are from so many to so many before the
// current one.
func (c *class) sum(from, to int64) int {
	total := 0
	for b := max(0, c.bucket-from); b < c.bucket-to; b++ {
		total += c.counts[b%int64(len(c.counts))]
	}
	return total
}

// capacity returns what may be booked in a slot, in requests.
func (c *class) capacity() float64 {
	count, buckets := c.sum(rateBuckets, 0), min(rateBuckets, c.bucket)
	if buckets == 0 {
		count, buckets = c.counts[0], 1
	}
	perSlot := float64(count) / float64(buckets) * slotTime.Seconds() / bucketTime.Seconds()
	return max(minCapacity, bookedShare*perSlot)
}

// hasRoom reports whether another request fits into a slot.
func (c *class) hasRoom(number int64, capacity float64) bool {
	if float64(c.at(number).booked) >= math.Ceil(capacity) {
		return false
	}
	slots := max(evenSlots, int64(math.Ceil(1/capacity)))
	booked := 0
	for n := max(0, number-slots+1); n <= number; n++ {
		if s := &c.slots[n%slotCount]; s.number == n {
			booked += s.booked
		}
	}
	return float64(booked+1) <= capacity*float64(slots)
}

// at returns the slot of a number, which is emptied of what an older one held.
func (c *class) at(number int64) *slot {
	s := &c.slots[number%slotCount]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
