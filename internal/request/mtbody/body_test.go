package mtbody_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/request/mtbody"
)

// counter counts what is allocated, up to a bound.
type counter struct{ held, bound int64 }

var errFull = errors.New("full")

func (c *counter) Grow(n int64) error {
	if c.held+n > c.bound {
		return errFull
	}
	c.held += n
	return nil
}

func (c *counter) Progress() {}

const limit = 1 << 20

// Guards against bodies that are changed on the way, held twice, or held unaccounted.
func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, limit/16).Draw(rt, "size"))
		text = text[:len(text)-min(len(text), rapid.IntRange(0, 20).Draw(rt, "less"))]
		length := int64(-1)
		if rapid.Bool().Draw(rt, "told") {
			length = int64(len(text))
		}
		var from io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(rt, "halves") {
			from = iotest.HalfReader(from)
		}
		count := &counter{bound: 2 * limit}
		body, err := mtbody.Read(from, length, limit, count)
		if err != nil {
			rt.Fatal(err)
		}
		if !bytes.Equal(bytes.Join(body.Pieces(), nil), text) || body.Size() != int64(len(text)) || body.Held() != count.held {
			rt.Fatalf("%v of %d bytes, %d accounted", body, len(text), count.held)
		}
		if body.Held() > 2*body.Size()+(4<<10) || body.Held() > body.Size()+(64<<10) {
			rt.Fatalf("%v holds %d bytes", body, body.Held())
		}
	})
}

// Failure: a body over the limit is read to its end, or read at all though its length was told.
func TestBodyOverTheLimit(t *testing.T) {
	g := NewWithT(t)
	_, err := mtbody.Read(iotest.ErrReader(errors.New("read")), limit+1, limit, &counter{bound: limit})
	g.Expect(err).To(MatchError(mtbody.ErrLarge))
	_, err = mtbody.Read(strings.NewReader(strings.Repeat("x", limit+1)), -1, limit, &counter{bound: 2 * limit})
	g.Expect(err).To(MatchError(mtbody.ErrLarge))
	_, err = mtbody.Read(strings.NewReader(strings.Repeat("x", limit)), -1, limit, &counter{bound: 2 * limit})
	g.Expect(err).NotTo(HaveOccurred())
}

// Failure: memory is taken for bytes that were told and have not come.
func TestToldBytesAreNotAllocatedAhead(t *testing.T) {
	g := NewWithT(t)
	count := &counter{bound: limit}
	_, err := mtbody.Read(iotest.DataErrReader(iotest.TimeoutReader(strings.NewReader("x"))), limit, limit, count)
	g.Expect(err).To(HaveOccurred())
	g.Expect(count.held).To(BeNumerically("<=", 16<<10))
}

// Failure: a body goes on growing where its memory is refused.
func TestBodyEndsWithItsMemory(t *testing.T) {
	g := NewWithT(t)
	_, err := mtbody.Read(strings.NewReader(strings.Repeat("x", limit)), limit, limit, &counter{bound: 100_000})
	g.Expect(err).To(MatchError(errFull))
}

func ExampleRead() {
	body, err := mtbody.Read(strings.NewReader("a prompt"), -1, 100, &counter{bound: 1 << 10})
	fmt.Println(body, err)
	// Output: 8 bytes in 1 pieces <nil>
}

// The body of an ordinary request, read into pieces and as a slice that grows.
func BenchmarkOrdinaryBody(b *testing.B) {
	text := strings.Repeat("x", 9200)
	b.Run("pieces", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := mtbody.Read(strings.NewReader(text), int64(len(text)), limit, &counter{bound: limit}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("slice", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := io.ReadAll(strings.NewReader(text)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
