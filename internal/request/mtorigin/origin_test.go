package mtorigin_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtorigin"
)

func origin(id, build string, left uint32) *fleetv1.Origin {
	return &fleetv1.Origin{Stream: mtorigin.Stream("school", id), Service: "pool", Build: build, Left: left}
}

func ExampleOrigins() {
	origins := mtorigin.New()
	stream := mtorigin.Stream("school", "attempt-1")
	origins.Take(&fleetv1.Origin{Stream: stream, Service: "pool", Build: "v1.1", Left: 5000})
	fmt.Println(origins.Find(stream).GetBuild())
	origins.Take(&fleetv1.Origin{Stream: stream, Service: "pool", Build: "v1.2", Left: 5000})
	fmt.Println(origins.Find(stream).GetDisputed())
	fmt.Println(origins.Find(mtorigin.Stream("town", "attempt-1")) == nil)
	// Output:
	// v1.1
	// true
	// true
}

// An origin expires after its lifetime, which a repeated report extends.
func TestOriginsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := mtorigin.New()
		stream := mtorigin.Stream("school", "a")
		g.Expect(o.Find(stream)).To(BeNil())
		o.Take(origin("a", "v1", 1000))
		time.Sleep(600 * time.Millisecond)
		g.Expect(o.Find(stream).GetBuild()).To(Equal("v1"))
		g.Expect(o.Find(stream).GetLeft()).To(Equal(uint32(400)))
		o.Take(origin("a", "v1", 1000))
		o.Take(origin("a", "v1", 100))
		time.Sleep(600 * time.Millisecond)
		g.Expect(o.Find(stream)).NotTo(BeNil())
		time.Sleep(600 * time.Millisecond)
		g.Expect(o.Find(stream)).To(BeNil())
	})
}

// Failure: two builds are reported for one stream, and the last report wins.
func TestTwoOriginsOfAStreamAreDisputed(t *testing.T) {
	g := NewWithT(t)
	o := mtorigin.New()
	o.Take(origin("a", "v1", 1000))
	o.Take(origin("a", "v2", 1000))
	o.Take(origin("a", "v2", 1000))
	g.Expect(o.Find(mtorigin.Stream("school", "a")).GetDisputed()).To(BeTrue())
	g.Expect(o.Find(mtorigin.Stream("town", "a"))).To(BeNil())
	g.Expect(o.Find(mtorigin.Stream("schoola", ""))).To(BeNil())
}

// Failure: origins fill the memory, or keep new ones out after they have expired.
func TestOriginsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := mtorigin.New()
		refused := 0
		for i := range 30_000 {
			if !o.Take(origin(fmt.Sprint(i), "v1", 1000)) {
				refused++
			}
		}
		g.Expect(o.Len()).To(Equal(20_000))
		g.Expect(refused).To(Equal(10_000))
		g.Expect(o.Take(origin("0", "v1", 1000))).To(BeTrue(), "it is stored already")
		time.Sleep(1100 * time.Millisecond)
		g.Expect(o.Take(origin("new", "v1", 1000))).To(BeTrue())
		g.Expect(o.Len()).To(Equal(1))
	})
}

// Failure: a malformed origin is stored under a digest that no stream has.
func TestMalformedOriginsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	o := mtorigin.New()
	o.Take(&fleetv1.Origin{Stream: []byte("short"), Build: "v1", Left: 1000})
	o.Take(&fleetv1.Origin{Build: "v1", Left: 1000})
	o.Take(origin("a", "v1", 0))
	g.Expect(o.Len()).To(BeZero())
}
