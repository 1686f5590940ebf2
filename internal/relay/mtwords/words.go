// Package mtwords counts the datagrams that a process sends, by what they are. In a fleet
// of hundreds most of its bytes are the processes' own words to each other, and only
// their kinds say which of them grows.
package mtwords

import (
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
	"github.com/mustardtide/mustardtide/internal/relay/mtpulse"
)

// Words sends through a socket. It is safe for concurrent use.
type Words struct {
	socket  mtpulse.Socket
	metrics *mtmetric.Set
	// counts are those of each kind that was sent, by its name.
	counts sync.Map
}

// count are the counters of one kind.
type count struct{ words, bytes metrics.Counter }

// New returns a sender whose counters are among some metrics.
func New(socket mtpulse.Socket, metrics *mtmetric.Set) *Words {
	return &Words{socket: socket, metrics: metrics}
}

// Send sends one message. A failure is counted, and made up for by the next message.
func (w *Words) Send(to string, message proto.Message) {
	n, err := w.socket.Send(to, message)
	if err != nil {
		w.metrics.Add("word_send_failures_total", 1)
		return
	}
	c := w.count(kind(message))
	c.words.Inc(1)
	c.bytes.Inc(int64(n))
}

// count returns the counters of a kind, which are kept: a process sends hundreds of
// datagrams a second.
func (w *Words) count(kind string) *count {
	if c, ok := w.counts.Load(kind); ok {
		return c.(*count)
	}
	label := `{kind="` + kind + `"}`
	c, _ := w.counts.LoadOrStore(kind, &count{w.metrics.Counter("words_total" + label), w.metrics.Counter("words_bytes_total" + label)})
	return c.(*count)
}

// kind names what a message is.
func kind(message proto.Message) string {
	switch m := message.(type) {
	case *fleetv1.Call:
		return callKind(m)
	case *fleetv1.Word:
		return wordKind(m)
	default:
		return "other"
	}
}

func callKind(call *fleetv1.Call) string {
	switch c := call.GetCall().(type) {
	case *fleetv1.Call_Hello:
		switch {
		case c.Hello.GetAsk() != 0:
			return "ask"
		case c.Hello.GetTurn() != nil:
			return "hello"
		default:
			return "burden"
		}
	case *fleetv1.Call_Notice:
		return "notice"
	case *fleetv1.Call_Seek:
		return "seek"
	case *fleetv1.Call_Origins:
		return "origins"
	case *fleetv1.Call_Lookup:
		return "lookup"
	case *fleetv1.Call_Promises:
		return "promises"
	case *fleetv1.Call_Claim:
		return "claim"
	default:
		return "other"
	}
}

func wordKind(word *fleetv1.Word) string {
	switch w := word.GetWord().(type) {
	case *fleetv1.Word_State:
		if len(w.State.GetChanges()) > 0 {
			return "changes"
		}
		return "state"
	case *fleetv1.Word_Notice:
		return "notice"
	case *fleetv1.Word_Digest:
		return "digest"
	case *fleetv1.Word_Seek:
		return "seek"
	case *fleetv1.Word_Sought:
		return "sought"
	case *fleetv1.Word_Origins:
		return "origins"
	case *fleetv1.Word_Lookup:
		return "lookup"
	case *fleetv1.Word_Found:
		return "found"
	case *fleetv1.Word_Claimed:
		return "claimed"
	case *fleetv1.Word_Draw:
		return "draw"
	case *fleetv1.Word_Grant:
		return "grant"
	default:
		return "other"
	}
}
