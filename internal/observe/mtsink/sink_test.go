package mtsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtsink"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
)

// Lines are written in order, soon, and the last ones at the end.
func TestLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		sink := mtsink.New(&out)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- sink.Run(ctx) }()
		_, _ = sink.Write([]byte("one\n"))
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		g.Expect(out.String()).To(Equal("one\n"))
		_, _ = sink.Write([]byte("two\n"))
		cancel()
		<-ended
		g.Expect(out.String()).To(Equal("one\ntwo\n"))
	})
}

// The reader of the log stops reading and the pipe fills: no request may wait
// for it, memory stays bounded, and what was dropped is counted.
func TestFullPipe(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe()
	defer reader.Close()
	sink := mtsink.New(writer)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- sink.Run(ctx) }()
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 5000 {
		n, err := sink.Write(line)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	g.Expect(sink.Dropped()).To(BeNumerically(">", 3000))
	cancel()
	reader.Close()
	<-ended
}

// A burst of one kind of line: each second's lines are bounded, and the first
// of the next second says how many were left out.
func TestBurstOfLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		sink := mtsink.New(&out)
		trail := mttrail.New("entry-0", sink)
		for range 1000 {
			trail.Say(mtkind.RequestSent)
		}
		trail.Warn(mtkind.RequestRejected)
		time.Sleep(time.Second)
		trail.Say(mtkind.RequestSent)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = sink.Run(ctx)
		g.Expect(strings.Count(out.String(), `"request-sent"`)).To(Equal(201))
		g.Expect(out.String()).To(ContainSubstring(`"omitted":800`))
		g.Expect(out.String()).To(ContainSubstring(`"request-rejected"`))
		g.Expect(trail.Metrics().Value(`events_total{event="request-sent"}`)).To(Equal(int64(1001)))
	})
}
