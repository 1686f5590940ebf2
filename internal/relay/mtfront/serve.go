package mtfront

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtquota"
	"github.com/mustardtide/mustardtide/internal/admission/mtreservation"
	"github.com/mustardtide/mustardtide/internal/admission/mtreturn"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/observe/mtlate"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/request/mtbody"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
	"github.com/mustardtide/mustardtide/internal/request/mtending"
	"github.com/mustardtide/mustardtide/internal/request/mtpatience"
	"github.com/mustardtide/mustardtide/internal/request/mtresume"
	"github.com/mustardtide/mustardtide/internal/routing/mtcatalog"
	"github.com/mustardtide/mustardtide/internal/routing/mtranking"
	"github.com/mustardtide/mustardtide/platform/mtspeech"
)

const (
	// defaultBody bounds a body where the configuration names no bound.
	defaultBody = 4 << 20
	// defaultTime bounds a request whose route and caller name no time.
	defaultTime = 30 * time.Second
)

// request is one caller's request and what was decided about it.
type request struct {
	front   *Front
	in      *http.Request
	out     http.ResponseWriter
	control *http.ResponseController
	ask     *fleetv1.Ask
	// catalog is the configuration that the request came under.
	catalog *mtcatalog.Catalog
	route   *fleetv1.Route
	account *fleetv1.Account
	service *fleetv1.Service
	// ranking is how the service ranks its requests by the configuration that the request came
	// under, nil if it does not: the next configuration may end that while the request runs.
	ranking *mtranking.Ranking
	body    *mtbody.Body
	uri     string
	// memory counts what the request holds, nil while that is little. received is set once the
	// request has come whole.
	memory   *mtreservation.Reservation
	received bool

	// cost is what was taken from the account's quota; ticket is set while credit for
	// it is drawn.
	cost   int64
	ticket *mtquota.Ticket

	// query is what the request needs of a target.
	query *mtboard.Query

	begun time.Time
	// path is where the time to the first byte went.
	path mtlate.Path
	// first is the time to the first byte of the last answer.
	first time.Duration
	// pause is the longest time between two parts of a stream.
	pause time.Duration
	until time.Time
	// tries are the targets that the request was sent to; unreached those to
	// which nothing could be sent.
	tries     int
	unreached int
	// paid says that the next send was taken from the fleet's bound of repeats.
	paid bool
	// mayHaveRun says that some target may have worked on the request: from then
	// on it can't be refused as one that has not run.
	mayHaveRun bool
	// ending judges the end of the last answer.
	ending *mtending.Ending
	// patience bounds the stream that is passed on, nil where the answer is none; room is how many
	// bytes a plain answer may still have. bound names the bound that the last answer passed, ""
	// for none.
	patience *mtpatience.Patience
	room     int
	bound    string
	// sentAt is when the last target got the request, bodyAt when the first of its answer's body
	// came, zero before.
	sentAt, bodyAt time.Time
	// partHashes and wholeHash identify the parts of the prompt and the whole request; nil and 0
	// until they are asked for.
	partHashes []mtcomponent.Component
	wholeHash  mtcomponent.Component
	// promised is what became of the lookup of a promise made to the request; nil until it is
	// looked up.
	promised *claimResult
	// trial is set if the request runs though it is banned.
	trial bool
	// delivered is what the caller has of a stream with which another target may go on.
	delivered *mtresume.Resume
	// backup keeps a copy of the run in progress, which was sent with the event id resumedAt.
	// continued is set once a run went on at its copy.
	backup    *mtboard.Backup
	resumedAt string
	continued bool
	// origin is that of a stream that the caller resumes; opened is set once the caller has
	// events of this answer.
	origin *fleetv1.Origin
	opened bool
	// origins are replicated, and expire at originsUntil.
	origins      []*fleetv1.Origin
	originsUntil time.Time
}

// ServeHTTP takes a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	under := &f.live
	if f.taking.Load() != int32(takingAll) {
		under = &f.late
	}
	under.Add(1)
	defer under.Add(-1)
	if f.closing.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	r := &request{
		front: f, in: in, out: w, control: http.NewResponseController(w),
		ask: mtspeech.Decode(in.Header), begun: time.Now(), uri: requestURI(in),
	}
	r.prepare()
	r.awaitStart()
	if !r.resolve() {
		return
	}
	defer func() { r.memory.Release() }()
	defer r.refund()
	timeout := r.timeout()
	r.until = r.begun.Add(timeout)
	ctx, cancel := context.WithDeadline(in.Context(), r.until)
	defer cancel()
	if !r.receiveCharged(ctx) || !r.resolveCharge(ctx) {
		return
	}
	if !r.takes(ctx) {
		r.reject("this entry is about to stop", f.closing.Load().RetryAfter(time.Now(), f.peers.ends()))
		return
	}
	if ban := r.ban(); ban != nil {
		r.logBanned(ban)
		r.reject(bannedText, bannedAgain)
		return
	}
	r.serve(ctx)
}

// requestURI is the path and query as the caller sent them.
func requestURI(in *http.Request) string {
	if strings.HasPrefix(in.RequestURI, "/") {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}

// awaitStart lets the entry learn a configuration and some targets, where it has just
// started.
func (r *request) awaitStart() {
	left := defaultTime
	if r.ask.GetWait() != nil {
		left = r.ask.GetWait().AsDuration()
	}
	r.front.start.Await(r.in.Context(), left)
}

// knowsEnough says that the entry knows a configuration and some targets.
func (f *Front) knowsEnough() bool {
	return f.catalog.Load() != nil && len(f.roster.View().All()) > 0
}

// resolve finds route, account and service, or refuses.
func (r *request) resolve() bool {
	catalog := r.front.catalog.Load()
	r.catalog = catalog
	if catalog == nil {
		r.reject("no configuration is known yet", mtreturn.RetryAfter(time.Since(r.front.begun)))
		return false
	}
	path, _, _ := strings.Cut(r.uri, "?")
	r.route = catalog.Route(r.in.Host, path)
	if r.route == nil {
		r.deny(http.StatusNotFound, "no route for this host and path")
		return false
	}
	if r.front.keyed(catalog) && !r.route.GetOpen() {
		r.account = catalog.Account(r.ask.GetKey())
		if r.ask.GetKey() == "" || r.account == nil {
			r.deny(http.StatusUnauthorized, "the key belongs to no client account")
			return false
		}
	}
	service, why := catalog.Serve(r.route)
	if service == nil {
		r.reject(why, unconfiguredAgain, zap.Int64("configuration", catalog.Version()))
		return false
	}
	r.service = service
	r.ranking = catalog.Ranking(r.service.GetName())
	return true
}

// keyed says that requests need a key by a configuration, or by the settings, which hold where a
// configuration has no list of accounts.
func (f *Front) keyed(catalog *mtcatalog.Catalog) bool { return f.site.GetKeyed() || catalog.Keyed() }

// unconfiguredAgain is when a caller should come back whose route no service serves: operators have
// to change the configuration first.
const unconfiguredAgain = 5 * time.Second

// timeout is the least of what the caller and the route allow.
func (r *request) timeout() time.Duration {
	timeout := r.route.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultTime
	}
	if r.ask.GetWait() != nil {
		timeout = min(timeout, r.ask.GetWait().AsDuration())
	}
	return timeout
}

// serve sends the request to one target after another until an answer is
// delivered or nothing more may be tried.
func (r *request) serve(ctx context.Context) {
	if !r.resolveOrigin(ctx) {
		return
	}
	defer r.front.streams.end(r)
	defer r.dropBackup(false)
	allowance := r.front.allowance(r.service.GetName())
	allowance.CountRequest()
	r.query = mtboard.NewQuery(r.service, r.ask, r.partition(), r.catalog.Cache(mtboard.HomePartID(r.ask)), r.route.GetAim().AsDuration())
	r.query.SetRank(r.urgency(), r.ranked())
	if r.origin != nil {
		r.query.Pin(r.origin.GetBuild())
	}
	r.path.Add(mtlate.Entry, time.Since(r.begun))
	var last result = rejected{}
	for r.mayTry(last) {
		began := time.Now()
		if r.tries > 0 && !r.paid && !allowance.TryRetry(r.front.entries()) {
			r.front.trail.Metrics().Add("retries_denied_total", 1)
			break
		}
		r.paid = r.tries > 0
		if ban := r.ban(); ban != nil {
			r.logBanned(ban)
			last = rejected{why: bannedText, banned: true}
			break
		}
		r.front.board.SetPartition(r.query, r.partition())
		r.front.consult(ctx, r.query)
		choice := r.front.board.Choose(r.query)
		if choice == nil {
			if r.tries == 0 && r.unreached == 0 {
				last = rejected{why: "no target can take it; " + r.front.board.UnfitSummary(r.query)}
			}
			break
		}
		if r.shed(ctx, choice) {
			return
		}
		r.path.Add(mtlate.Entry, time.Since(began))
		last = r.attempt(ctx, choice)
		if r.over(ctx, last) {
			return
		}
	}
	r.end(last)
}

// partition is that of the request's cached parts by the configuration in force now: an account may
// become isolated while a request waits, its own or another's.
func (r *request) partition() string { return r.front.catalog.Load().Partition(r.account) }

// leaveOut keeps the target out of the request's later choices, unless it was not the target's doing
// that nothing was sent.
func (r *request) leaveOut(choice *mtboard.Choice, last result) {
	l, ok := last.(rejected)
	switch {
	case ok && l.moved:
	case ok && l.withheld:
		r.query.Withhold(choice.Target())
	default:
		r.query.Exclude(choice.Target())
	}
}

// mayTry says whether another target may get the request.
func (r *request) mayTry(last result) bool {
	if r.unreached > maxUnreached || r.tries >= int(r.route.GetAttempts()) || r.front.without.repeats && r.tries > 0 {
		return false
	}
	switch l := last.(type) {
	case rejected:
		return !l.banned
	case broken:
		return r.repeatable()
	default:
		return false
	}
}

// maxUnreached bounds the targets in a row that could not be reached: each may
// cost the time of a dial.
const maxUnreached = 3

// repeatable says that a request which may have run may be sent again.
func (r *request) repeatable() bool {
	switch r.route.GetRepeat() {
	case fleetv1.Repeat_REPEAT_SAFE:
		return true
	case fleetv1.Repeat_REPEAT_STREAM:
		return r.route.GetResumable()
	default:
		return false
	}
}

// over says that the caller has its answer or is gone.
func (r *request) over(ctx context.Context, last result) bool {
	if _, ok := last.(answered); ok {
		return true
	}
	if r.in.Context().Err() != nil {
		r.left("the caller closed its connection")
		r.abort()
		return true
	}
	if ctx.Err() != nil {
		r.end(last)
		return true
	}
	return false
}

func (r *request) log(choice *mtboard.Choice, last result) {
	fields := append(r.fields(), zap.String("target", choice.Target()), zap.String("build", choice.Build()), zap.Int("try", r.tries))
	fields = append(fields, r.resumeFields()...)
	switch l := last.(type) {
	case rejected:
		kind := mtkind.SendRejected
		switch {
		case l.withheld:
			kind = mtkind.SendWithheld
		case l.unreached:
			kind = mtkind.SendUnreached
		}
		r.front.trail.Warn(kind, append(fields, zap.String("why", l.why))...)
	case broken:
		r.front.trail.Warn(mtkind.SendLost, append(fields, append(r.ended(), zap.String("why", l.why))...)...)
	case answered:
	}
}

// resumeFields name, for a stream that is resumed by its caller or within this answer, the request
// that began it and the last event that the caller has.
func (r *request) resumeFields() []zap.Field {
	last := r.ask.GetResume()
	if r.delivered != nil {
		last = r.delivered.Last()
	}
	if r.ask.GetBegun() == "" && last == "" {
		return nil
	}
	return []zap.Field{zap.String("begun", clip(r.ask.GetBegun())), zap.String("after", clip(last))}
}

// maxLogged bounds what a log line holds of a text that a caller chose.
const maxLogged = 128

func clip(text string) string { return text[:min(len(text), maxLogged)] }

// fields name the request in a log line.
func (r *request) fields() []zap.Field {
	return []zap.Field{
		zap.String("request", clip(r.ask.GetId())),
		zap.String("route", r.route.GetName()),
		zap.String("account", r.account.GetName()),
		zap.Duration("age", time.Since(r.begun)),
	}
}
