package mtcode

import "net/http"

// Results of requests that may not be repeated.
const (
	KeyMissing    Code = 401
	KeyMismatch   Code = 402
	AlreadyRun    Code = 403
	ClaimFailed   Code = 404
	OutcomeHidden Code = 405
	StillRunning  Code = 406
)

var onceRows = map[Code]row{
	KeyMissing:    {"key-missing", http.StatusBadRequest, "the service takes no request without an Idempotency-Key", "send one key for one request, the same at each resend"},
	KeyMismatch:   {"key-mismatch", http.StatusUnprocessableEntity, "the Idempotency-Key was used with another body", "use a new key for a new request"},
	AlreadyRun:    {"already-run", http.StatusConflict, "a request with this key was given to a target; its answer is no longer kept", "look the result up in the service itself"},
	ClaimFailed:   {"claim-failed", http.StatusServiceUnavailable, "the claim could not be written to the platform; the request did not run", "come back after Retry-After with the same key"},
	OutcomeHidden: {"outcome-hidden", http.StatusBadGateway, "it can't be told whether the request ran", "resend with the same key: it will not run twice"},
	StillRunning:  {"still-running", http.StatusConflict, "a request with this key runs on a target that can't be reached now", "come back after Retry-After with the same key"},
}
