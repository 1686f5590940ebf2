package mtentry

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/types/known/durationpb"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
	"github.com/mustardtide/mustardtide/internal/placement/mtchoice"
	"github.com/mustardtide/mustardtide/internal/prefix/mtchain"
	"github.com/mustardtide/mustardtide/internal/settings/mtsnapshot"
)

const (
	defaultBody     = 4 << 20
	defaultDeadline = time.Minute
	defaultTokens   = 16
	// bodyTime bounds the reading of a body: 4 MB at a megabit a second.
	bodyTime = 40 * time.Second
)

// task is one caller's request on its way.
type task struct {
	account *mustardtidev1.Account
	work    *mustardtidev1.Work
	call    *mustardtidev1.Call
	service *mustardtidev1.Service
	left    time.Duration
	stream  bool
	// choice is set once the targets are chosen.
	choice *mtchoice.Choice
	// finish is the last attempt's; nil where no target gave one.
	finish *mustardtidev1.Finish
}

// serve answers one caller.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.live.Add(1)
	defer e.live.Add(-1)
	e.prepare(w)
	run := newRun()
	t, refusal := e.accept(w, r, run)
	if refusal != nil {
		e.log.Add(mtkind.RequestRefused, &mustardtidev1.Event{Run: run, Text: refusal.Error()})
		mtcaller.Refuse(w, run, refusal)
		return
	}
	e.note(mtkind.RequestAccepted, t, "")
	if refusal := e.screen(t.work); refusal != nil {
		e.turnAway(w, t, refusal)
		return
	}
	leave, refusal := e.limit(r.Context(), t)
	if refusal != nil {
		e.turnAway(w, t, refusal)
		return
	}
	defer leave()
	ctx, cancel := e.bound(r.Context(), t.left)
	defer cancel()
	e.answer(ctx, w, r, t)
}

// turnAway refuses a request before any target is chosen.
func (e *Entry) turnAway(w http.ResponseWriter, t *task, refusal *mtrefusal.Refusal) {
	e.note(mtkind.RequestRefused, t, refusal.Error())
	mtcaller.Refuse(w, t.work.GetRun(), refusal)
}

// prepare undoes what the connection's last request has set, and asks the
// caller to close the connection where the entry is leaving: one that is closed
// while it is idle may be closed under a request on its way.
func (e *Entry) prepare(w http.ResponseWriter) {
	// A writer without deadlines is one of a test's recorder.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// read reads a request; a body that comes too slowly is refused.
func read(w http.ResponseWriter, r *http.Request, limit int64) (*mtcaller.Request, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	request, err := mtcaller.Read(w, r, limit)
	_ = control.SetReadDeadline(time.Time{})
	return request, err
}

// bodyLimit is the largest body that any service takes; the service's own limit
// is checked once the body has named it.
func bodyLimit(snapshot *mtsnapshot.Snapshot) int64 {
	limit := uint64(defaultBody)
	for _, service := range snapshot.Base().GetServices() {
		limit = max(limit, service.GetBody())
	}
	return int64(limit)
}

// bound ends a request at its deadline, when its caller hangs up, and when the
// entry's drain has reached its bound.
func (e *Entry) bound(ctx context.Context, left time.Duration) (context.Context, context.CancelFunc) {
	timed, cancel := context.WithTimeout(ctx, left)
	bounded, end := context.WithCancelCause(timed)
	release := context.AfterFunc(e.over, func() { end(errOver) })
	return bounded, func() {
		release()
		end(nil)
		cancel()
	}
}

// accept reads and checks a request: nothing of it has reached a target.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request, run string) (*task, *mtrefusal.Refusal) {
	snapshot := e.spread.Snapshot()
	// Without settings no key is known: a caller told so for good would give up
	// a good key.
	if snapshot.Revision() == 0 {
		return nil, advise(mtrefusal.New(mtcode.SettingsMissing, ""))
	}
	account := snapshot.Account(mtcaller.Bearer(r))
	if account == nil {
		return nil, mtrefusal.New(mtcode.UnknownKey, "").AsFinal()
	}
	request, err := read(w, r, bodyLimit(snapshot))
	if err != nil {
		return nil, mtrefusal.FromError(err)
	}
	service, refusal := find(snapshot, request)
	if refusal != nil {
		return nil, refusal
	}
	rule := snapshot.Rule(account.GetName(), service.GetName())
	if rule.GetDeny() {
		return nil, mtrefusal.New(mtcode.Denied, service.GetName()).AsFinal()
	}
	left, err := request.Deadline()
	if err != nil {
		return nil, mtrefusal.FromError(err)
	}
	if left == 0 {
		left = snapshot.Deadline(account.GetName(), service)
	}
	if left == 0 {
		left = defaultDeadline
	}
	return e.task(run, account, service, rule, request, left)
}

func find(snapshot *mtsnapshot.Snapshot, request *mtcaller.Request) (*mustardtidev1.Service, *mtrefusal.Refusal) {
	if request.Plain() {
		service := snapshot.Service(request.Name())
		if service == nil || service.GetKind() != "plain" {
			return nil, mtrefusal.New(mtcode.UnknownService, request.Name()).AsFinal()
		}
		return service, nil
	}
	service := snapshot.Model(request.Name())
	if service == nil {
		return nil, mtrefusal.New(mtcode.UnknownModel, request.Name()).AsFinal()
	}
	return service, nil
}

func (e *Entry) task(run string, account *mustardtidev1.Account, service *mustardtidev1.Service, rule *mustardtidev1.Rule, request *mtcaller.Request, left time.Duration) (*task, *mtrefusal.Refusal) {
	if limit := cmp.Or(service.GetBody(), defaultBody); uint64(len(request.Body())) > limit {
		return nil, mtrefusal.New(mtcode.BodyTooLarge, fmt.Sprintf("%s takes %d bytes", service.GetName(), limit)).AsFinal()
	}
	work := &mustardtidev1.Work{
		Run:     run,
		Account: account.GetName(),
		Service: service.GetName(),
		Class:   class(rule),
		Left:    durationpb.New(left),
		Print:   fingerprint(account.GetName(), request),
	}
	if service.GetOnce() {
		if request.Key() == "" {
			return nil, mtrefusal.New(mtcode.KeyMissing, "").AsFinal()
		}
		work.Key = request.Key()
	}
	call := &mustardtidev1.Call{Method: request.Method(), Path: request.Path(), Body: request.Body()}
	if request.Plain() {
		call.Headers = headers(request.Header())
	} else {
		e.measure(work, service, request)
	}
	return &task{account: account, work: work, call: call, service: service, left: left, stream: request.Stream()}, nil
}

// measure fills in what placement and admission need of a model request.
func (e *Entry) measure(work *mustardtidev1.Work, service *mustardtidev1.Service, request *mtcaller.Request) {
	work.Salt = mtchain.Salt(work.GetAccount(), service.GetModel(), service.GetWeights(), service.GetAdapter())
	work.Prompt = uint64(len(request.Prompt()) / mtchain.BytesPerToken)
	work.Output = uint64(request.Tokens())
	if work.GetOutput() == 0 {
		work.Output = defaultTokens
	}
	if service.GetGranule() > 0 && service.GetStride() > 0 {
		work.Chain = mtchain.New(work.GetSalt(), int(service.GetGranule()), int(service.GetStride()), request.Prompt()).Bytes()
	}
}

func class(rule *mustardtidev1.Rule) mustardtidev1.Class {
	if rule.GetClass() == "long" {
		return mustardtidev1.Class_LONG
	}
	return mustardtidev1.Class_SHORT
}

// fingerprint names account, path and body.
func fingerprint(account string, request *mtcaller.Request) []byte {
	h := xxh3.New()
	_, _ = h.WriteString(account)
	_, _ = h.WriteString("\x00" + request.Name() + "\x00" + request.Path() + "\x00")
	_, _ = h.Write(request.Body())
	sum := h.Sum128().Bytes()
	return sum[:]
}

func headers(from http.Header) []*mustardtidev1.Header {
	var list []*mustardtidev1.Header
	for name, values := range from {
		for _, value := range values {
			list = append(list, &mustardtidev1.Header{Name: name, Value: value})
		}
	}
	return list
}

// newRun names a request; 26 letters hold 130 random bits.
func newRun() string { return rand.Text() }

func (e *Entry) note(kind mtkind.Kind, t *task, text string) {
	e.log.Add(kind, &mustardtidev1.Event{Run: t.work.GetRun(), Account: t.work.GetAccount(), Text: text})
}
