package mtcode

import "net/http"

// Refusals of admission: the request did not run, unless the answer says that
// it ran when its target crashed.
const (
	DeadlineTooNear Code = 201
	QueueFull       Code = 202
	RateExceeded    Code = 203
	StreamsExceeded Code = 204
	NoTarget        Code = 205
	Leaving         Code = 206
	Quarantined     Code = 207
	RetryBudget     Code = 208
	TicketUnknown   Code = 209
	Crashed         Code = 210
	Suspected       Code = 211
)

var admissionRows = map[Code]row{
	DeadlineTooNear: {"deadline-too-near", http.StatusServiceUnavailable, "the expected wait passes the request's deadline", "come back after Retry-After, or allow a later deadline"},
	QueueFull:       {"queue-full", http.StatusServiceUnavailable, "the target's queue is full", "come back after Retry-After"},
	RateExceeded:    {"rate-exceeded", http.StatusTooManyRequests, "the account's rate is used up", "come back after Retry-After, or ask for a higher rate"},
	StreamsExceeded: {"streams-exceeded", http.StatusTooManyRequests, "the account has its allowed number of requests under way", "wait for one to end"},
	NoTarget:        {"no-target", http.StatusServiceUnavailable, "no target of the service takes work", "come back after Retry-After; look at `mustardtide status`"},
	Leaving:         {"leaving", http.StatusServiceUnavailable, "the target is leaving", "nothing: the entry tries another target"},
	Quarantined:     {"quarantined", http.StatusUnprocessableEntity, "this request crashed the targets that ran it", "do not send it again; change the request"},
	RetryBudget:     {"retry-budget", http.StatusServiceUnavailable, "the service's retry budget is used up", "come back after Retry-After"},
	TicketUnknown:   {"ticket-unknown", http.StatusServiceUnavailable, "the reservation has lapsed", "nothing: the entry offers the request again"},
	Crashed:         {"crashed", http.StatusBadGateway, "the target crashed while it ran this request and others", "send a repeatable request again; it is tried alone"},
	Suspected:       {"suspected", http.StatusServiceUnavailable, "a target crashed while it ran this request; another run of it is being tried alone", "come back after Retry-After"},
}
