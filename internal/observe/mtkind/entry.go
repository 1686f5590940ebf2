package mtkind

// Events of an entry.
const (
	EntryStarted    Kind = 1001
	EntryDraining   Kind = 1002
	EntryStopped    Kind = 1003
	RequestAccepted Kind = 1010
	RequestRefused  Kind = 1011
	RequestAnswered Kind = 1012
	RequestBroken   Kind = 1013
	AttemptSent     Kind = 1020
	AttemptRefused  Kind = 1021
	AttemptLost     Kind = 1022
	AttemptResumed  Kind = 1023
	FrameDropped    Kind = 1024
)

var entryRows = map[Kind]row{
	EntryStarted:    {"entry-started", "the entry listens"},
	EntryDraining:   {"entry-draining", "the entry is unready and finishes its requests"},
	EntryStopped:    {"entry-stopped", "the entry has finished its requests"},
	RequestAccepted: {"request-accepted", "a caller's request passed the checks"},
	RequestRefused:  {"request-refused", "a caller's request got a refusal"},
	RequestAnswered: {"request-answered", "a caller has its whole answer"},
	RequestBroken:   {"request-broken", "an answer ended before its end, and the caller was told"},
	AttemptSent:     {"attempt-sent", "a request was sent to a target's sidecar"},
	AttemptRefused:  {"attempt-refused", "a sidecar refused a request"},
	AttemptLost:     {"attempt-lost", "the connection to a run broke or went silent"},
	AttemptResumed:  {"attempt-resumed", "a run was resumed over a new connection"},
	FrameDropped:    {"frame-dropped", "a frame of another run or offset was dropped"},
}
