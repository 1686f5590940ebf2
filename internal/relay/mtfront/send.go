package mtfront

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtlate"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/relay/mtlink"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

// result is what became of one send.
type result interface{ result() }

// rejected is a send that did not run: nothing was sent, or the target said so.
type rejected struct {
	why       string
	unreached bool
	// withheld says that the target's limit does not allow it.
	withheld bool
	// banned says that requests like it are refused.
	banned bool
	// moved says that the request's cached parts belong to another partition since the choice.
	moved bool
}

// broken is a send that may have run and brought no whole answer.
type broken struct{ why string }

// answered is a send whose answer the caller has, whole or cut off visibly.
type answered struct{}

func (rejected) result() {}
func (broken) result()   {}
func (answered) result() {}

// send gives the request to one target and delivers its answer.
func (r *request) send(ctx context.Context, choice *mtboard.Choice) result {
	link, result := r.connect(ctx, choice)
	if link == nil {
		return result
	}
	r.paid = false
	r.ending, r.bound = nil, ""
	if !choice.Continued() {
		r.tries++
		r.assignBackup(choice)
	}
	r.logSent(choice, link)
	r.notify(choice, false)
	// The connection ends with the caller and with the request's time: the target
	// stops its work then.
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	header := mtspeech.Outgoing(r.in.Header, r.dispatch(choice))
	sent := time.Now()
	r.sentAt, r.bodyAt = sent, time.Time{}
	before := r.mayHaveRun
	r.mayHaveRun = true
	if err := link.Send(r.in.Method, r.uri, r.in.Host, header, r.body.Pieces()...); err != nil {
		return r.lost(ctx, choice, link, err)
	}
	response, err := link.Receive(r.in.Method, r.mine) //nolint:bodyclose // the link ends with its body
	if err != nil {
		return r.lost(ctx, choice, link, err)
	}
	answer := mtspeech.DecodeAnswer(response.StatusCode, response.Header)
	r.observe(choice, answer, sent)
	r.alive(choice, answer, sent)
	if answer.GetRefused() {
		r.mayHaveRun = before
		drain(link, response)
		r.release(link, answer)
		choice.End(mtboard.Rejected{Answer: answer})
		return rejected{why: "the target did not run it: " + response.Status}
	}
	if r.delivered == nil {
		r.first = time.Since(r.begun)
		r.worked(choice, time.Since(sent))
		r.observeQueue(choice, time.Since(sent))
		r.observeBegin()
	}
	r.started(choice, answer)
	r.releaseBody(link)
	return r.deliver(ctx, choice, link, response, answer)
}

// started takes in that a target has begun to answer.
func (r *request) started(choice *mtboard.Choice, answer *fleetv1.Answer) {
	choice.Started(answer)
	r.checkBackup(choice, answer)
	r.notify(choice, true)
	r.front.histogram(`first_byte_seconds{route="` + r.route.GetName() + `"}`).Observe(time.Since(r.begun))
	r.front.trail.Metrics().Add(`placed_total{how="`+choice.CacheUse()+`"}`, 1)
}

// connect returns a connection to the chosen target, or what became of the send without
// one: nothing was sent.
func (r *request) connect(ctx context.Context, choice *mtboard.Choice) (*mtlink.Link, result) {
	if why := r.permit(ctx, choice); why != "" {
		choice.End(mtboard.Abandoned{})
		return nil, rejected{why: why, withheld: true}
	}
	link, result := r.dial(ctx, choice)
	if link == nil && choice.Permitted() {
		r.front.limiter.Refund(choice.Target())
	}
	return link, result
}

func (r *request) dial(ctx context.Context, choice *mtboard.Choice) (*mtlink.Link, result) {
	chosen := time.Now()
	link, err := r.front.pool.Take(ctx, choice.Address())
	r.path.Add(mtlate.Connection, time.Since(chosen))
	switch {
	case err != nil && ctx.Err() != nil:
		choice.End(mtboard.Abandoned{})
	case err != nil:
		choice.End(mtboard.Unreachable{})
		r.unreached++
	case choice.Withdrawn():
		link.Close()
		choice.End(mtboard.Abandoned{})
		r.unreached++
		return nil, rejected{why: "it wants no more requests since it was chosen", unreached: true}
	case choice.Salt() != "" && r.partition() != r.query.Partition():
		link.Release(0)
		choice.End(mtboard.Abandoned{})
		return nil, rejected{why: "which accounts are isolated has changed since it was chosen", moved: true}
	default:
		if ban := r.ban(); ban != nil {
			link.Release(0)
			choice.End(mtboard.Abandoned{})
			r.logBanned(ban)
			return nil, rejected{why: bannedText, banned: true}
		}
		if r.otherProgram(ctx, choice, link) {
			link.Close()
			choice.End(mtboard.Unreachable{})
			r.unreached++
			return nil, rejected{why: "another program runs there than the chosen one", unreached: true}
		}
		return link, nil
	}
	return nil, rejected{why: err.Error(), unreached: true}
}

// observe takes in what an answer to a request that was sent at a time says of its target:
// that it leaves, for how long it wants no more requests, or how many it takes.
func (r *request) observe(choice *mtboard.Choice, answer *fleetv1.Answer, sent time.Time) {
	r.observeLimit(choice, answer, sent)
	if answer.GetLeaving() {
		if target, news := choice.NoteLeaving(answer); news {
			r.front.trail.Warn(mtkind.TargetLeaving, append(r.fields(), zap.String("target", target),
				zap.String("address", choice.Address()), zap.String("from", "its answer"))...)
		}
	}
	if answer.GetPause().AsDuration() > 0 && choice.NotePause(answer) {
		r.front.trail.Warn(mtkind.TargetPaused, append(r.fields(), zap.String("target", choice.Target()),
			zap.Duration("pause", answer.GetPause().AsDuration()))...)
	}
}

// worked counts the time that the target took for the first byte.
func (r *request) worked(choice *mtboard.Choice, took time.Duration) {
	queue, read, fetch := choice.QueueTime(), choice.PrefillTime(), choice.FetchTime()
	r.path.Worked(took, queue, read, fetch, max(0, choice.Estimate()-queue-read-fetch))
}

// mine says that an answer belongs to this request.
func (r *request) mine(response *http.Response) bool {
	answer := mtspeech.DecodeAnswer(response.StatusCode, response.Header)
	if answer.GetId() == "" {
		// Refusals may come without the id; a success without it is nobody's.
		return response.StatusCode >= http.StatusMultipleChoices
	}
	return answer.GetId() == r.ask.GetId()
}

// dispatch is what the target is told besides the caller's request.
func (r *request) dispatch(choice *mtboard.Choice) *fleetv1.Dispatch {
	d := &fleetv1.Dispatch{
		Wait:    durationpb.New(time.Until(r.until)),
		Target:  choice.ExpectedID(),
		Account: r.account.GetName(),
	}
	if choice.Salt() != "" {
		d.Version = choice.Version()
		d.Salt = choice.Salt()
		d.Fetch = choice.FetchFrom()
		d.Urgency = proto.Int32(mtspeech.Urgency(r.urgency()))
		d.Save = choice.SaveTo()
	}
	if r.delivered != nil {
		d.Resume = r.delivered.Last()
	}
	switch {
	case choice.Continued():
		d.From = choice.Address() + "/" + r.ask.GetId()
	case r.backup != nil:
		d.Backup = r.backup.Address()
	}
	return d
}

// lost ends a send whose connection failed: the request may have run.
func (r *request) lost(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, err error) result {
	r.endBroken(ctx, choice, link, err)
	if ctx.Err() != nil {
		return broken{why: "ended at the target: " + ctx.Err().Error()}
	}
	return broken{why: err.Error()}
}

// endBroken closes a connection whose answer did not come to its end, and blames
// the target unless the caller or the request's time ended it. A bound that was passed is no
// crash, so that the request is not suspected.
func (r *request) endBroken(ctx context.Context, choice *mtboard.Choice, link *mtlink.Link, err error) {
	link.Close()
	r.noteBound(ctx, err)
	if ctx.Err() != nil {
		choice.End(mtboard.Abandoned{})
		return
	}
	choice.End(mtboard.Failed{})
	if r.bound == "" {
		r.broke(choice)
	}
}

// notify tells the sidecar, and the keepers of the prompt's shared parts, what the
// target reads, so that others neither let another read it too nor miss whom to fetch
// it from.
func (r *request) notify(choice *mtboard.Choice, read bool) {
	if choice.LargePrefill() {
		r.front.burden(choice.Target(), choice.Address())
	}
	if choice.Salt() == "" || choice.Continued() {
		return
	}
	for _, part := range r.front.board.Lookups(r.query) {
		if !read && choice.Holds(part) {
			continue
		}
		notice := &fleetv1.Notice{Target: choice.Target(), Salt: choice.Salt(), Parts: []*fleetv1.Part{part}, Read: read}
		if read {
			notice.Store = choice.SaveTo()
		}
		for _, keeper := range r.front.keepers(r.query, part) {
			keeper.send(r.front, notice)
		}
	}
}

// logSent names the target and why it was chosen.
func (r *request) logSent(choice *mtboard.Choice, link *mtlink.Link) {
	fields := append(r.fields(), r.resumeFields()...)
	if limit, limited := r.front.limits.Rate(choice.Target()); limited {
		fields = append(fields, zap.Float64("limit", limit))
	}
	r.front.trail.Say(mtkind.RequestSent, append(fields,
		zap.String("target", choice.Target()), zap.String("expected", choice.ExpectedID()), zap.String("build", choice.Build()), zap.Int("try", r.tries),
		zap.Int64("weights", choice.Version()), zap.Duration("behind", choice.Behind()), zap.Int64("prompt", r.ask.GetPrompt()), zap.Int64("output", r.ask.GetOutput()),
		zap.String("how", choice.CacheUse()), zap.Int64("cached", choice.Matched()), zap.String("fetch", choice.FetchFrom()),
		zap.Duration("cost", choice.Cost()), zap.String("next", choice.RunnersUp()), zap.String("unfit", choice.Unfit()), zap.Bool("kept", link.Reused()), zap.String("backup", r.backupTarget()),
		zap.Int64("configuration", r.catalog.Version()))...)
}
