package mtnet_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1/fleetv1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
)

// serveFrames answers the first request on the next connection with frames.
func serveFrames(listener net.Listener, answer func(framer *http2.Framer, stream uint32)) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(conn, preface); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if headers, ok := frame.(*http2.HeadersFrame); ok {
			answer(framer, headers.StreamID)
			return
		}
	}
}

// head writes the head of a response of a status.
func head(framer *http2.Framer, stream uint32, status string) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	_ = encoder.WriteField(hpack.HeaderField{Name: ":status", Value: status})
	_ = encoder.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/proto"})
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
}

// Guards against responses between the system's own processes that are none, or not whole, and that
// a caller takes for answers: HTTP/2 marks the end of a body, so that a part never looks whole.
func TestInternalResponses(t *testing.T) {
	answer, err := proto.Marshal(&fleetv1.Knowledge{Revision: 7})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	whole := func(status string) func(*http2.Framer, uint32) {
		return func(framer *http2.Framer, stream uint32) {
			head(framer, stream, status)
			_ = framer.WriteData(stream, true, answer)
		}
	}
	part := func(end func(framer *http2.Framer, stream uint32)) func(*http2.Framer, uint32) {
		return func(framer *http2.Framer, stream uint32) {
			head(framer, stream, "200")
			_ = framer.WriteData(stream, false, answer)
			end(framer, stream)
		}
	}
	for name, c := range map[string]struct {
		answer func(framer *http2.Framer, stream uint32)
		sound  bool
	}{
		"200":               {whole("200"), true},
		"000":               {whole("000"), false},
		"099":               {whole("099"), false},
		"600":               {whole("600"), false},
		"+20":               {whole("+20"), false},
		"closed":            {part(func(*http2.Framer, uint32) {}), false},
		"stream reset":      {part(func(f *http2.Framer, stream uint32) { _ = f.WriteRSTStream(stream, http2.ErrCodeNo) }), false},
		"stream cancelled":  {part(func(f *http2.Framer, stream uint32) { _ = f.WriteRSTStream(stream, http2.ErrCodeCancel) }), false},
		"connection leaves": {part(func(f *http2.Framer, stream uint32) { _ = f.WriteGoAway(stream, http2.ErrCodeNo, nil) }), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			served := make(chan struct{})
			go func() {
				defer close(served)
				serveFrames(listener, func(framer *http2.Framer, stream uint32) {
					c.answer(framer, stream)
					// What was sent is read before the connection ends.
					time.Sleep(50 * time.Millisecond)
				})
			}()
			transport := mtnet.Probing(time.Second).Internal()
			client := fleetv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+listener.Addr().String())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			response, err := client.Know(ctx, connect.NewRequest(&fleetv1.KnowRequest{}))
			g.Expect(err == nil).To(Equal(c.sound), "%v", err)
			if c.sound {
				g.Expect(response.Msg.GetRevision()).To(Equal(int64(7)))
			}
			transport.CloseIdleConnections()
			g.Expect(listener.Close()).To(Succeed())
			<-served
		})
	}
}
