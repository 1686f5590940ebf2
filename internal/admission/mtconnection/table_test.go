package mtconnection_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/admission/mtconnection"
)

// client is a connection and whether it was closed.
type client struct {
	*mtconnection.Connection
	closed bool
}

func open(t *mtconnection.Table) *client {
	c := &client{}
	c.Connection = t.Open(func() { c.closed = true })
	return c
}

func (c *client) request() {
	_ = c.Read(100)
	c.Begin()
	c.Received()
}

func few(count int) *mtconnection.Table {
	return mtconnection.New(mtconnection.NewLimits(count, 0, 0))
}

// Guards against connections without a request, or short of its end, that shut callers out, and
// against closing those that are being served.
func TestOrderOfClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := few(6)
		stalled := open(table)
		_ = stalled.Read(10)
		stalled.Begin()
		// Of one rank the older one is closed first.
		time.Sleep(time.Millisecond)
		refused, silent, rests, unread, served := open(table), open(table), open(table), open(table), open(table)
		rests.request()
		rests.Rest()
		served.request()
		unread.request()
		unread.Writing()
		_ = refused.Read(10)
		refused.Begin()
		refused.Refused()
		time.Sleep(2 * time.Second)
		for _, next := range []*client{refused, stalled, silent, rests, unread} {
			g.Expect(next.closed).To(BeFalse())
			late := open(table)
			g.Expect(late.Connection).NotTo(BeNil())
			g.Expect(next.closed).To(BeTrue())
			g.Expect(next.Crossed()).To(BeTrue())
			late.request()
		}
		g.Expect(open(table).Connection).To(BeNil(), "all others are being served")
		g.Expect(served.closed).To(BeFalse())
		g.Expect(table.Refused()).To(Equal(int64(1)))
	})
}

// Guards against a crowd that comes faster than a caller can send its request.
func TestNewConnectionsYieldToThoseThatRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := few(3)
		fresh := open(table)
		_ = fresh.Read(10)
		for range 2 {
			rests := open(table)
			rests.request()
			rests.Rest()
		}
		open(table)
		open(table)
		g.Expect(fresh.closed).To(BeFalse())
		g.Expect(table.Closed(mtconnection.CauseCrowded)).To(Equal(int64(2)))
	})
}

// Guards against heads that take the memory of other callers, and against requests that are served
// beyond it.
func TestHeadsAndRequestsTakeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := mtconnection.New(mtconnection.NewLimits(0, 1<<20, 0))
		var heads []*client
		for range 40 {
			c := open(table)
			heads = append(heads, c)
			_ = c.Read(16 << 10)
			time.Sleep(time.Millisecond)
			g.Expect(table.Bytes()).To(BeNumerically("<=", 1<<20))
		}
		g.Expect(heads[0].closed).To(BeTrue())
		for range 100 {
			c := open(table)
			if c.Connection == nil {
				continue
			}
			_ = c.Read(100)
			c.Begin()
			c.Received()
			g.Expect(table.Bytes()).To(BeNumerically("<=", 1<<20))
		}
		g.Expect(table.Refused()).To(BeNumerically(">", 0))
	})
}

// Guards against heads and idle connections beyond the configured times, and against closing those
// whose bytes came while the process stood still.
func TestConfiguredTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := few(0)
		table.BoundHead(1000)
		head, rests, served := open(table), open(table), open(table)
		served.request()
		rests.request()
		rests.Rest()
		time.Sleep(10 * time.Second)
		_ = head.Read(10)
		expire := func() { table.Expire(3*time.Second, 15*time.Second, 3*time.Second) }
		for range 2 {
			time.Sleep(time.Second)
			expire()
		}
		g.Expect(head.closed).To(BeFalse())
		time.Sleep(4 * time.Second)
		expire()
		g.Expect(head.closed || rests.closed).To(BeFalse(), "the process stood still")
		time.Sleep(time.Second)
		expire()
		g.Expect(head.closed && rests.closed).To(BeTrue())
		g.Expect(served.closed).To(BeFalse())
		g.Expect(open(table).Read(10_000)).To(MatchError(mtconnection.ErrHead))
	})
}

// Guards against connections and bytes that stay counted after their end, and sums over the limits.
func TestTableStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := mtconnection.New(mtconnection.NewLimits(20, 2<<20, 1<<20))
		var all []*client
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			c := open(table)
			if len(all) > 0 && rapid.Bool().Draw(rt, "known") {
				c.Close()
				c = all[rapid.IntRange(0, len(all)-1).Draw(rt, "which")]
			}
			if c.Connection == nil {
				continue
			}
			all = append(all, c)
			switch rapid.IntRange(0, 5).Draw(rt, "does") {
			case 0:
				_ = c.Read(rapid.IntRange(1, 20_000).Draw(rt, "bytes"))
			case 1:
				c.Begin()
			case 2:
				c.Received()
			case 3:
				c.Rest()
			case 4:
				c.Refused()
			case 5:
				c.Close()
			}
			if table.Count() > 20 || table.Bytes() > 2<<20 {
				rt.Fatalf("%d connections, %d bytes", table.Count(), table.Bytes())
			}
		}
		for _, c := range all {
			c.Close()
		}
		if table.Count() != 0 || table.Bytes() != 0 {
			rt.Fatalf("%d connections and %d bytes stay", table.Count(), table.Bytes())
		}
	})
}

func ExampleTable_Open() {
	table := mtconnection.New(mtconnection.NewLimits(1, 0, 0))
	first := table.Open(func() { fmt.Println("the first is closed") })
	first.Rest()
	second := table.Open(func() {})
	fmt.Println(second != nil, table.Count())
	// Output:
	// the first is closed
	// true 1
}
