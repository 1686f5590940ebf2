package mtbuffer_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtbuffer"
)

// A caller is refused, or gets a short answer, and waits a whole second for it.
// Its reader looked for the end and then for the head; the end came in between,
// and the reader slept until the next heartbeat. Here there is none: a reader
// that misses the end sleeps for ever, and the bubble says so.
func TestReaderSeesTheEnd(t *testing.T) {
	const rounds = 2000
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for range rounds {
			b := mtbuffer.New(1)
			seen := make(chan *mustardtidev1.Finish, 1)
			go func() {
				for {
					head, finish, wake := b.Head()
					if head != nil || finish != nil {
						seen <- finish
						return
					}
					<-wake
				}
			}()
			b.Finish(&mustardtidev1.Finish{Output: 1})
			g.Expect((<-seen).GetOutput()).To(BeEquivalentTo(1))
		}
	})
}

// An entry's connection breaks behind the bytes that it acknowledged. What it
// has not acknowledged is there for the next one, in the written pieces' order;
// what it has is gone, and asking for it fails instead of giving a wrong part.
func TestResumeFromAnOffset(t *testing.T) {
	g := NewWithT(t)
	b := mtbuffer.New(64)
	for _, piece := range []string{"one ", "two ", "three"} {
		g.Expect(b.Write(context.Background(), []byte(piece))).To(Succeed())
	}
	b.Finish(&mustardtidev1.Finish{Complete: true})
	b.Ack(6)
	data, finish, _, err := b.Next(6)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("o three"))
	g.Expect(finish).To(BeNil())
	data, finish, _, err = b.Next(2)
	g.Expect(err).To(HaveOccurred(), "%q %v", data, finish)
	_, finish, _, err = b.Next(13)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(finish.GetComplete()).To(BeTrue())
}
