package mtentry

import (
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
	"github.com/mustardtide/mustardtide/internal/observe/mtcode"
	"github.com/mustardtide/mustardtide/internal/request/mtprompt"
)

// hear takes in a process's clock and what it has quarantined of late.
func (e *Entry) hear(peer *mustardtidev1.Peer) {
	e.log.Clock().See(peer.GetStamp())
	e.poison.Learn(peer.GetBans())
	e.culprits.Merge(peer.GetCulprits())
}

// suspicion takes in what the platform's objects say of a request.
func (e *Entry) suspicion(m *mustardtidev1.Suspicion) {
	if m.GetBanned() {
		e.poison.Ban(m.GetPrint())
		return
	}
	for _, source := range m.GetCrashes() {
		e.poison.Crash(m.GetPrint(), source)
	}
}

// screen refuses a quarantined request and marks a suspect, which its sidecar
// runs alone.
func (e *Entry) screen(work *mustardtidev1.Work) *mtrefusal.Refusal {
	if e.poison.Banned(work.GetPrint()) || e.culprits.Refusing() && e.culprits.Match(mtprompt.Components(work)) != nil {
		return mtrefusal.New(mtcode.Quarantined, "").AsFinal()
	}
	work.Suspect = work.GetSuspect() || e.poison.Suspect(work.GetPrint())
	return nil
}

// suspect takes in how an attempt failed. A request whose target crashed is
// tried again as a suspect; one whose sidecar was lost with it as well, since
// nobody is left to say whether the target died.
func (e *Entry) suspect(t *task, refusal *mtrefusal.Refusal) {
	switch refusal.Code() {
	case mtcode.Quarantined:
		e.poison.Ban(t.work.GetPrint())
	case mtcode.Crashed:
		t.work.Suspect = true
	case mtcode.Unreachable, mtcode.Incomplete, mtcode.RunUnknown:
		t.work.Suspect = t.work.GetSuspect() || refusal.Ran() == mustardtidev1.Ran_UNKNOWN
	default:
	}
}
