package mtbeside

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

// maxReport bounds an engine's report, which lists its runs.
const maxReport = 1 << 20

// reportTime bounds the call for a report, which an engine answers from memory:
// one that takes longer is no better for callers than one that is down.
const reportTime = 250 * time.Millisecond

// engine calls the engine on the same instance over one connection.
type engine struct {
	address string
	pool    *mtlink.Pool
}

func newEngine(address string, dial func(context.Context, string) (net.Conn, error)) *engine {
	return &engine{address: address, pool: mtlink.NewPool(dial, func() {})}
}

// report reads what the engine says of itself.
func (e *engine) report(ctx context.Context) (*fleetv1.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	status, body, err := e.call(ctx, http.MethodGet, mtspeech.PathReport, nil, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the engine answered its report with status %d", status)
	}
	report, err := mtspeech.DecodeReport(body)
	return report, trace.Wrap(err)
}

// cacheEvents waits for changes of the engine's cache after a number.
func (e *engine) cacheEvents(ctx context.Context, since int64) (*fleetv1.CacheEvents, error) {
	status, body, err := e.call(ctx, http.MethodGet, mtspeech.CacheEventsPath(since), mtspeech.CacheEventsHeaders(eventsWait), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if status != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the engine answered the call for its events with status %d", status)
	}
	events, err := mtspeech.DecodeCacheEvents(body)
	return events, trace.Wrap(err)
}

// swap sends an order and returns the status.
func (e *engine) swap(ctx context.Context, order *fleetv1.Swap) (int, error) {
	body, err := mtspeech.EncodeSwap(order)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	status, _, err := e.call(ctx, http.MethodPost, mtspeech.PathOrder, mtspeech.SwapHeaders(order), body)
	return status, trace.Wrap(err)
}

func (e *engine) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	link, err := e.pool.Take(ctx, e.address)
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	if err := link.Send(method, path, e.address, header, body); err != nil {
		link.Close()
		return 0, nil, trace.Wrap(err)
	}
	response, err := link.Receive(method, func(*http.Response) bool { return true }) //nolint:bodyclose // the link ends with its body
	if err != nil {
		link.Close()
		return 0, nil, trace.Wrap(err)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		link.Close()
		return 0, nil, trace.Wrap(err)
	}
	link.Release(mtspeech.DecodeAnswer(response.StatusCode, response.Header).GetIdle().AsDuration())
	return response.StatusCode, answer, nil
}

// sameReport says that two reports differ in nothing on which entries choose
// at once; the rest goes with the next answer to a hello.
func sameReport(a, b *fleetv1.Report) bool {
	return a.GetBorn() == b.GetBorn() && a.GetBusy() == b.GetBusy() && proto.Equal(versions(a), versions(b))
}

func versions(r *fleetv1.Report) *fleetv1.Report { return &fleetv1.Report{Models: r.GetModels()} }
