package mtdemo

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// settle lets cache events, which come late, arrive before the next request.
const settle = 30 * time.Millisecond

// Sizes of the nested prompts, in repetitions of a sentence.
const (
	rulesSize   = 300
	dossierSize = 150
)

const opening = `
Three model engines and one plain service, a sidecar beside each, one entry.
Prompts are nested: a school's rules, then a trip dossier, then a question.
The entry sends a prompt to the engine that has most of its prefix cached.
`

const closing = `
The first prompt of a dossier is computed whole; the next ones find its prefix
cached on the same engine, and their first byte comes sooner. The same text of
another client account shares nothing: its prefix has another salt. The reminder
was sent twice with one Idempotency-Key and ran once: the second answer is the
first one's. Try 'go run . demo --hold' for a fleet that stays up, and
'go run . explain' for the numbered results.
`

// steps are the demo's requests in order.
func steps() []step {
	rules := strings.Repeat("Pupils stay with their teacher at every stop. ", rulesSize)
	riga := rules + strings.Repeat("Day trip to the open air museum by bus. ", dossierSize)
	zoo := rules + strings.Repeat("Visit to the zoo by tram, picnic at noon. ", dossierSize)
	ask := func(what, account, prompt string) step {
		return step{what: what, account: account, path: "/v1/completions", body: completion(prompt)}
	}
	remind := step{account: "schools", path: "/v1/services/consent/remind", body: `{"slip":7}`, key: "slip-7"}
	first, again := remind, remind
	first.what = "reminder, not to be repeated"
	again.what = "the same reminder, sent again"
	return []step{
		ask("museum dossier, 1st question", "schools", riga+"Are medical notes missing?"),
		ask("museum dossier, 2nd question", "schools", riga+"Who has not signed yet?"),
		ask("museum dossier, 3rd question", "schools", riga+"Draft a reply to the parent."),
		ask("zoo dossier, same rules", "schools", zoo+"Are medical notes missing?"),
		ask("zoo dossier, 2nd question", "schools", zoo+"Who has not signed yet?"),
		ask("museum dossier, other account", "clubs", riga+"Are medical notes missing?"),
		first,
		again,
	}
}

// completion is a streamed request's body with usage at its end.
func completion(prompt string) string {
	encoded, err := json.Marshal(prompt)
	if err != nil {
		return ""
	}
	return fmt.Sprintf(`{"model":"dossier","stream":true,"stream_options":{"include_usage":true},"max_tokens":8,"prompt":%s}`, encoded)
}
