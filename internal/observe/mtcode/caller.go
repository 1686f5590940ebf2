package mtcode

import "net/http"

// Results of a caller's request before any target is chosen.
const (
	OK             Code = 100
	UnknownKey     Code = 101
	UnknownService Code = 102
	BadMethod      Code = 103
	BadBody        Code = 104
	BodyTooLarge   Code = 105
	BadDeadline    Code = 106
	Denied         Code = 107
	UnknownPath    Code = 108
	UnknownModel   Code = 109
	BadProtocol    Code = 110
	SlowBody       Code = 111
)

var callerRows = map[Code]row{
	OK:             {"ok", http.StatusOK, "the answer is complete", "nothing"},
	UnknownKey:     {"unknown-key", http.StatusUnauthorized, "the bearer key belongs to no client account", "send Authorization: Bearer with a key of the base file"},
	UnknownService: {"unknown-service", http.StatusNotFound, "no service has this name", "compare the path with the services of `mustardtide show`"},
	BadMethod:      {"bad-method", http.StatusMethodNotAllowed, "the path does not take this method", "use POST for completions"},
	BadBody:        {"bad-body", http.StatusBadRequest, "the body is not a request of this API", "mend the field that the reason names"},
	BodyTooLarge:   {"body-too-large", http.StatusRequestEntityTooLarge, "the body is larger than the service takes", "send less, or raise the service's body setting"},
	BadDeadline:    {"bad-deadline", http.StatusBadRequest, "the deadline header is no positive duration", "send a duration such as 30s"},
	Denied:         {"denied", http.StatusForbidden, "a rule denies this account the service", "ask the operators for a rule"},
	UnknownPath:    {"unknown-path", http.StatusNotFound, "no such path", "use /v1/chat/completions, /v1/completions or /v1/services/NAME/"},
	BadProtocol:    {"bad-protocol", http.StatusHTTPVersionNotSupported, "the request came over HTTP/1.0, which can't tell a broken answer from a whole one", "use HTTP/1.1"},
	SlowBody:       {"slow-body", http.StatusRequestTimeout, "the body came too slowly", "send it again over a better connection"},
	UnknownModel:   {"unknown-model", http.StatusNotFound, "no service runs this model", "name a model or service of `mustardtide show`"},
}
