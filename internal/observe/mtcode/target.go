package mtcode

import "net/http"

// Results of targets and streams.
const (
	TargetDied      Code = 301
	Incomplete      Code = 302
	TargetRefused   Code = 303
	DeadlinePassed  Code = 304
	Unreachable     Code = 305
	RunUnknown      Code = 306
	SlowReader      Code = 307
	CallerGone      Code = 308
	OffsetDropped   Code = 309
	BadTargetAnswer Code = 310
)

var targetRows = map[Code]row{
	TargetDied:      {"target-died", http.StatusBadGateway, "the target stopped while it ran the request", "send a repeatable request again"},
	Incomplete:      {"incomplete", http.StatusBadGateway, "the answer ended before it was complete", "do not use what came; send a repeatable request again"},
	TargetRefused:   {"target-refused", http.StatusBadGateway, "the target answered with an error", "read the reason, which is the target's"},
	DeadlinePassed:  {"deadline-passed", http.StatusGatewayTimeout, "the deadline passed while the request ran", "allow a later deadline"},
	Unreachable:     {"unreachable", http.StatusBadGateway, "the target's sidecar can't be reached", "come back after Retry-After; look at `mustardtide status`"},
	RunUnknown:      {"run-unknown", http.StatusBadGateway, "the sidecar knows no such run", "send a repeatable request again"},
	SlowReader:      {"slow-reader", http.StatusRequestTimeout, "the caller read too slowly", "read the answer as it comes"},
	CallerGone:      {"caller-gone", statusCallerGone, "the caller hung up", "nothing"},
	OffsetDropped:   {"offset-dropped", http.StatusBadGateway, "the sidecar no longer keeps this part of the answer", "send a repeatable request again"},
	BadTargetAnswer: {"bad-target-answer", http.StatusBadGateway, "the target's answer breaks its protocol", "look at the target's own log"},
}

// statusCallerGone is never sent: it stands in logs and metrics only.
const statusCallerGone = 499
