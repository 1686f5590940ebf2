// Package mtprobe calls a model engine for what it says of itself, and gives it
// orders.
package mtprobe

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mttrail"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

// callTime bounds a call to the engine.
const callTime = 1200 * time.Millisecond

// maxReport bounds an engine's answer: a report lists its runs, and cache events may be many. A
// longer one is an error, and its connection is reset.
const maxReport = 1 << 20

// reportTime bounds the call for a report, which an engine answers from memory:
// one that takes longer is no better for callers than one that is down.
const reportTime = 250 * time.Millisecond

// Probe calls one engine over few connections.
type Probe struct {
	address string
	pool    *mtlink.Pool
}

// New returns a probe of the engine at an IP:PORT.
func New(address string, dial func(context.Context, string) (net.Conn, error)) *Probe {
	return &Probe{address: address, pool: mtlink.NewPool(dial, func() {})}
}

// Report reads what the engine says of itself.
func (p *Probe) Report(ctx context.Context) (*fleetv1.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	answer, body, err := p.call(ctx, http.MethodGet, mtspeech.PathReport, nil, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeReport(answer.status, body)
}

// ID asks the engine for its id at the path of its health check. The status does not matter: an
// engine that is leaving says its id too.
func (p *Probe) ID(ctx context.Context, path string) (string, error) {
	answer, _, err := p.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if answer.id == "" {
		return "", trace.NotFound("the engine's answer with status %d names no id", answer.status)
	}
	return answer.id, nil
}

// CacheEvents waits for changes of the engine's cache after a number.
func (p *Probe) CacheEvents(ctx context.Context, since int64, wait time.Duration) (*fleetv1.CacheEvents, error) {
	answer, body, err := p.call(ctx, http.MethodGet, mtspeech.CacheEventsPath(since), mtspeech.CacheEventsHeaders(wait), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if answer.status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the engine answered the call for its events with status %d", answer.status)
	}
	events, err := mtspeech.DecodeCacheEvents(body)
	return events, trace.Wrap(err)
}

// Order sends an order and logs it with what became of it; more are fields beside the
// order's own. It reports whether the engine took the order; after an error it may still
// carry it out.
func (p *Probe) Order(ctx context.Context, order *fleetv1.Swap, trail *mttrail.Trail, more ...zap.Field) (bool, error) {
	fields := append([]zap.Field{
		zap.String("target", order.GetTarget()), zap.String("model", order.GetWeights().GetModel()),
		zap.Int64("version", order.GetWeights().GetVersion()), zap.Int64("fence", order.GetFence()),
		zap.Int64("expected", order.GetExpected()),
	}, more...)
	trail.Say(mtkind.SwapSent, fields...)
	status, err := p.swap(ctx, order)
	taken := status == http.StatusOK || status == http.StatusAccepted
	switch {
	case err != nil:
		trail.Warn(mtkind.SwapUnanswered, append(fields, zap.Error(err))...)
	case taken:
		trail.Say(mtkind.SwapTaken, append(fields, zap.Int("status", status))...)
	default:
		trail.Warn(mtkind.SwapRefused, append(fields, zap.Int("status", status))...)
	}
	return taken, trace.Wrap(err)
}

// SameWeights says that two reports name the same versions of the same models.
func SameWeights(a, b *fleetv1.Report) bool {
	return proto.Equal(&fleetv1.Report{Models: a.GetModels()}, &fleetv1.Report{Models: b.GetModels()})
}

// swap sends an order and returns the status.
func (p *Probe) swap(ctx context.Context, order *fleetv1.Swap) (int, error) {
	body, err := mtspeech.EncodeSwap(order)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	answer, _, err := p.call(ctx, http.MethodPost, mtspeech.PathOrder, mtspeech.SwapHeaders(order), body)
	return answer.status, trace.Wrap(err)
}

// head is what the head of an engine's answer says: its status and the engine's id, "" if it names
// none.
type head struct {
	status int
	id     string
}

func (p *Probe) call(ctx context.Context, method, path string, header http.Header, body []byte) (head, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	link, err := p.pool.Take(ctx, p.address)
	if err != nil {
		return head{}, nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	response, answer, err := exchange(link, method, path, p.address, header, body) //nolint:bodyclose // the link ends with its body
	if err != nil {
		link.Close()
		return head{}, nil, trace.Wrap(err)
	}
	said := mtspeech.DecodeAnswer(response.StatusCode, response.Header)
	link.Release(said.GetIdle().AsDuration())
	return head{status: response.StatusCode, id: said.GetTarget()}, answer, nil
}

// exchange sends a request over a connection and reads the whole answer.
func exchange(link *mtlink.Link, method, path, host string, header http.Header, body []byte) (*http.Response, []byte, error) {
	if err := link.Send(method, path, host, header, body); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response, err := link.Receive(method, func(*http.Response) bool { return true })
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReport+1))
	if err == nil && len(answer) > maxReport {
		err = trace.LimitExceeded("the engine's answer is over %d bytes", maxReport)
	}
	return response, answer, trace.Wrap(err)
}

// ReportOver reads what the engine at the other end of a connection says of itself, so that the
// connection can carry another request afterwards. It is an error if the engine closes it.
func ReportOver(ctx context.Context, link *mtlink.Link, host string) (*fleetv1.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	response, body, err := exchange(link, http.MethodGet, mtspeech.PathReport, host, nil, nil) //nolint:bodyclose // the link ends with its body
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.Close {
		return nil, trace.ConnectionProblem(nil, "the engine closes the connection after its report")
	}
	return decodeReport(response.StatusCode, body)
}

func decodeReport(status int, body []byte) (*fleetv1.Report, error) {
	if status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the engine answered its report with status %d", status)
	}
	report, err := mtspeech.DecodeReport(body)
	return report, trace.Wrap(err)
}
