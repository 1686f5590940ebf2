package mtfront

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

const (
	// flowTime is how long after the first of an answer has come a target's end has another
	// cause than that request: a deadly one crashes it as the answer begins.
	flowTime = time.Second
	// bannedAgain is when a caller of a banned request may ask again.
	bannedAgain = 30 * time.Second
	// crashNewsTime is the least time between two digests that go out for news of crashes.
	crashNewsTime = 50 * time.Millisecond
	// loggedParts and loggedName bound what a caller's list of parts adds to a log line.
	loggedParts = 16
	loggedName  = 32
)

// partIDs returns the ids of the prompt's parts as the caller names them.
func (r *request) partIDs() []string {
	if len(r.ask.GetParts()) == 0 {
		return r.ask.GetNames()
	}
	ids := make([]string, 0, len(r.ask.GetParts()))
	for _, part := range r.ask.GetParts() {
		ids = append(ids, part.GetId())
	}
	return ids
}

// shared returns the parts of the prompt that other requests may have: all but the last.
func (r *request) shared() []mtcomponent.Component {
	parts := r.parts()
	return slices.Clip(parts[:max(0, len(parts)-1)])
}

func (r *request) parts() []mtcomponent.Component {
	if r.partHashes == nil {
		for _, id := range r.partIDs() {
			r.partHashes = append(r.partHashes, mtcomponent.Part(id))
		}
	}
	return slices.Clip(r.partHashes)
}

// wholeRequest identifies requests of the same account, path and body.
func (r *request) wholeRequest() mtcomponent.Component {
	if r.wholeHash == 0 {
		r.wholeHash = mtcomponent.WholeInPieces(r.body.Pieces(), []byte(r.account.GetName()), []byte(r.in.Method), []byte(r.in.Host), []byte(r.uri))
	}
	return r.wholeHash
}

// ban returns what the request is refused for, nil if it may run. It is asked for again before
// each send, as a request may have waited since it came.
func (r *request) ban() *fleetv1.Ban {
	if r.trial || !r.front.culprits.Refusing() {
		return nil
	}
	components := append(r.parts(), r.wholeRequest())
	ban := r.front.culprits.Match(components)
	if ban != nil && r.front.first() && r.front.culprits.Try(components) {
		r.trial = true
		return nil
	}
	return ban
}

// logBanned says which of the prompt's parts the request is refused for, and the targets that
// crashed.
func (r *request) logBanned(ban *fleetv1.Ban) {
	var names []string
	for i, part := range r.parts() {
		if slices.Contains(ban.GetComponents(), uint64(part)) {
			names = append(names, shortened(r.partIDs()[i]))
		}
	}
	r.front.trail.Warn(mtkind.RequestDangerous, append(r.fields(), append(banFields(ban), zap.Strings("parts", names))...)...)
}

// broke records that a target broke off while it ran the request. The end of a target that ran only
// requests with a flowing answer counts as a crash without components: others at the same time
// then have another cause than theirs.
func (r *request) broke(choice *mtboard.Choice) {
	target, born := choice.Incarnation()
	r.front.trail.Warn(mtkind.RequestSuspected, append(r.fields(), zap.String("target", target), zap.Int64("born", born),
		zap.Strings("parts", r.partNames()), zap.Duration("first", r.first), zap.Bool("flowing", r.flowing()))...)
	var components []mtcomponent.Component
	r.front.copies.RecordCrash(r.service.GetName(), target, born, 0)
	if r.flowing() {
		r.acquit(choice)
	} else {
		components = append(r.shared(), r.wholeRequest())
	}
	r.front.culprits.Crashed(target, born, r.sentAt, components)
	r.front.logBans("own")
	r.front.alarm()
}

// flowing reports whether the last answer has come for so long that its request cannot be what
// ends its target.
func (r *request) flowing() bool { return !r.bodyAt.IsZero() && time.Since(r.bodyAt) > flowTime }

// acquit records that a target has answered the request. Only model engines read prompts.
func (r *request) acquit(choice *mtboard.Choice) {
	var components []mtcomponent.Component
	if choice.Salt() != "" {
		components = r.shared()
	}
	if r.front.culprits.Suspecting() {
		components = append(components, r.wholeRequest())
	}
	if r.front.culprits.Acquit(components) {
		r.front.logBans("own")
		r.front.crashNews()
	}
}

// alive records that a target has answered a request that was sent at a time.
func (r *request) alive(choice *mtboard.Choice, answer *fleetv1.Answer, sent time.Time) {
	if !answer.GetSealed() || !r.front.culprits.Suspecting() {
		return
	}
	target, born := choice.Responder(answer)
	if r.front.culprits.Answered(target, born, sent) {
		r.front.crashNews()
	}
}

// crashNews lets some of the other entries hear of crashes soon.
func (f *Front) crashNews() {
	now := time.Since(f.begun)
	told := time.Duration(f.crashTold.Load())
	if now-told >= crashNewsTime && f.crashTold.CompareAndSwap(int64(told), int64(now)) {
		f.digest()
	}
}

// hearCrashes takes in what another entry knows of crashes.
func (f *Front) hearCrashes(digest *fleetv1.Digest) {
	for _, crash := range digest.GetCrashes() {
		if target := f.roster.View().Target(crash.GetTarget()); target != nil && !crash.GetVoid() {
			f.copies.RecordCrash(target.GetService(), crash.GetTarget(), crash.GetBorn(), time.Duration(crash.GetAge())*time.Millisecond)
		}
	}
	if f.culprits.Merge(digest) {
		f.logBans("entry " + digest.GetEntry())
		f.crashNews()
	}
}

// logBans says which requests are refused from now on, and which no longer.
func (f *Front) logBans(from string) {
	banned, lifted := f.culprits.Changes()
	for _, ban := range banned {
		f.trail.Warn(mtkind.ComponentBanned, append(banFields(ban), zap.String("from", from))...)
	}
	for _, ban := range lifted {
		f.trail.Warn(mtkind.ComponentAcquitted, append(banFields(ban), zap.String("from", from))...)
	}
}

func banFields(ban *fleetv1.Ban) []zap.Field {
	var names []string
	for _, value := range ban.GetComponents() {
		names = append(names, mtcomponent.Component(value).String())
	}
	return []zap.Field{
		zap.Strings("components", names), zap.Strings("crashed", ban.GetTargets()),
		zap.Duration("since", ban.GetAge().AsDuration()), zap.String("times", strconv.Itoa(int(ban.GetTimes()))),
	}
}

// partNames returns the ids of the prompt's first parts for the log.
func (r *request) partNames() []string {
	ids := r.partIDs()
	names := make([]string, 0, min(len(ids), loggedParts))
	for _, id := range ids[:min(len(ids), loggedParts)] {
		names = append(names, shortened(id))
	}
	return names
}

func shortened(id string) string { return id[:min(len(id), loggedName)] }
