package mtkind

// Events of a sidecar.
const (
	SidecarStarted    Kind = 2001
	SidecarDraining   Kind = 2002
	SidecarStopped    Kind = 2003
	RunQueued         Kind = 2010
	RunRefused        Kind = 2011
	RunBegan          Kind = 2012
	RunFinished       Kind = 2013
	RunFailed         Kind = 2014
	RunCancelled      Kind = 2015
	TargetUp          Kind = 2020
	TargetDown        Kind = 2021
	TargetIncarnation Kind = 2022
	CacheGap          Kind = 2030
	CacheVoid         Kind = 2031
	RunSuspected      Kind = 2040
	RunQuarantined    Kind = 2041
)

var sidecarRows = map[Kind]row{
	SidecarStarted:    {"sidecar-started", "the sidecar listens"},
	SidecarDraining:   {"sidecar-draining", "the sidecar refuses new work and finishes what it has"},
	SidecarStopped:    {"sidecar-stopped", "the sidecar has finished its work"},
	RunQueued:         {"run-queued", "a request waits for its target"},
	RunRefused:        {"run-refused", "a request was refused; it did not run"},
	RunBegan:          {"run-began", "a request was handed to the target"},
	RunFinished:       {"run-finished", "the target gave the whole answer"},
	RunFailed:         {"run-failed", "the target stopped before the answer's end"},
	RunCancelled:      {"run-cancelled", "a run was cancelled at its entry's word"},
	TargetUp:          {"target-up", "the target answers"},
	TargetDown:        {"target-down", "the target does not answer"},
	TargetIncarnation: {"target-incarnation", "the target has started anew; its cache is empty"},
	CacheGap:          {"cache-gap", "cache events are missing"},
	CacheVoid:         {"cache-void", "the view of the target's cache was emptied"},
	RunSuspected:      {"run-suspected", "a request was running when its target crashed"},
	RunQuarantined:    {"run-quarantined", "a request crashed two targets and is refused from now on"},
}
