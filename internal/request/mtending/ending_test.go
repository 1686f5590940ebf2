package mtending_test

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtending"
)

func ExampleEnding() {
	stream := mtending.New(-1, false, true)
	stream.Take([]byte("data: one\n\ndata: t"))
	fmt.Println(stream.Framing(), stream.End(io.EOF), stream.Sign())
	// Output: connection the stream ended inside an event event
}

// Failure: a stream that its target broke off counts as whole, as its framing or its
// connection ended in order.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	for _, framing := range framings {
		for name, c := range map[string]struct {
			text string
			sign string
		}{
			"whole":               {"data: a\n\n", ""},
			"within an event":     {"data: a\n\ndata: b\n", "event"},
			"within a line":       {"data: a\n\nda", "event"},
			"within the first":    {"data", "event"},
			"CRLF, whole":         {"data: a\r\n\r\n", ""},
			"CRLF, without empty": {"data: a\r\n", "event"},
		} {
			t.Run(framing.name+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				e := mtending.New(framing.length, framing.chunked, true)
				e.Take([]byte(c.text))
				err := e.End(io.EOF)
				g.Expect(e.Sign()).To(Equal(c.sign))
				g.Expect(err == nil).To(Equal(c.sign == ""))
				g.Expect(e.Framing()).To(Equal(framing.name))
			})
		}
	}
}

var framings = []struct {
	name    string
	length  int64
	chunked bool
}{
	{"length", 9, false},
	{"chunks", -1, true},
	{"connection", -1, false},
}

// Failure: a target dies before its first event, and the caller has a whole stream without
// any. A target that says that there is nothing is believed.
func TestStreamWithoutEvents(t *testing.T) {
	g := NewWithT(t)
	e := mtending.New(-1, false, true)
	g.Expect(e.End(io.EOF)).To(HaveOccurred())
	g.Expect(e.Sign()).To(Equal("empty"))
	g.Expect(mtending.New(-1, true, true).End(io.EOF)).To(Succeed())
	g.Expect(mtending.New(0, false, true).End(io.EOF)).To(Succeed())
}

// A plain answer says nothing of its end: only its framing and its connection do.
func TestPlainAnswers(t *testing.T) {
	for _, framing := range framings {
		g := NewWithT(t)
		e := mtending.New(framing.length, framing.chunked, false)
		g.Expect(e.Take([]byte("{"))).To(Equal(1))
		g.Expect(e.End(io.EOF)).To(Succeed())
	}
}

func TestSignsOfTheConnection(t *testing.T) {
	g := NewWithT(t)
	for _, framing := range framings[:2] {
		e := mtending.New(framing.length, framing.chunked, true)
		g.Expect(e.End(io.ErrUnexpectedEOF)).To(MatchError(io.ErrUnexpectedEOF))
		g.Expect(e.Sign()).To(Equal(framing.name))
	}
	reset := mtending.New(-1, false, false)
	g.Expect(reset.End(fmt.Errorf("read: %w", syscall.ECONNRESET))).To(MatchError(syscall.ECONNRESET))
	g.Expect(reset.Sign()).To(Equal("reset"))
	closed := mtending.New(-1, false, false)
	g.Expect(closed.End(io.ErrClosedPipe)).To(MatchError(io.ErrClosedPipe))
	g.Expect(closed.Sign()).To(Equal("connection"))
}

// Failure: a stream that was cut as it passed a bound counts as one whose connection failed.
func TestSignOfABound(t *testing.T) {
	g := NewWithT(t)
	e := mtending.New(-1, true, true)
	e.Take([]byte("data: a\n\ndata: b"))
	g.Expect(e.Events()).To(Equal(1))
	g.Expect(e.End(io.ErrClosedPipe)).To(MatchError(io.ErrClosedPipe))
	e.Cut()
	g.Expect(e.Sign()).To(Equal("bound"))
}

func BenchmarkTake(b *testing.B) {
	event := []byte("id: 117\ndata: " + strings.Repeat("x", 30) + "\n\n")
	e := mtending.New(-1, false, true)
	b.ReportAllocs()
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		e.Take(event)
	}
}
