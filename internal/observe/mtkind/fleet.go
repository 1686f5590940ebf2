package mtkind

// Events of entries and sidecars on the users' platform.
const (
	FleetStarted       Kind = 7001
	FleetStopping      Kind = 7002
	FleetStopped       Kind = 7003
	FleetReloaded      Kind = 7004
	StoreLost          Kind = 7010
	StoreBack          Kind = 7011
	CatalogInForce     Kind = 7012
	CatalogIgnored     Kind = 7013
	TargetListed       Kind = 7014
	TargetLeaving      Kind = 7015
	TargetGone         Kind = 7016
	TargetMissing      Kind = 7017
	WeightsNamed       Kind = 7018
	EngineLost         Kind = 7019
	EngineBack         Kind = 7020
	EngineBorn         Kind = 7021
	EngineOther        Kind = 7022
	RequestSent        Kind = 7030
	RequestDone        Kind = 7031
	RequestRejected    Kind = 7032
	RequestFailed      Kind = 7033
	RequestLeft        Kind = 7034
	SendUnreached      Kind = 7035
	SendRejected       Kind = 7036
	SendLost           Kind = 7037
	SendAgain          Kind = 7038
	SwapSent           Kind = 7040
	SwapTaken          Kind = 7041
	SwapRefused        Kind = 7042
	SwapUnanswered     Kind = 7043
	WeightsInPlace     Kind = 7044
	RequestDangerous   Kind = 7045
	PeerLost           Kind = 7046
	SpeedAdopted       Kind = 7047
	SpeedLearned       Kind = 7048
	CustodyKnown       Kind = 7049
	EngineTaken        Kind = 7050
	EngineReturned     Kind = 7051
	QuotaExceeded      Kind = 7052
	QuotaBack          Kind = 7053
	TargetPaused       Kind = 7054
	TargetsListed      Kind = 7055
	TargetLimited      Kind = 7056
	TargetUnlimited    Kind = 7057
	SendWithheld       Kind = 7058
	StreamTakenUp      Kind = 7059
	RequestSuspected   Kind = 7060
	ComponentBanned    Kind = 7061
	ComponentAcquitted Kind = 7062
	LevelChanged       Kind = 7063
	ConnectionsClosed  Kind = 7064
	AccountUnreadable  Kind = 7065
	PromiseClaimed     Kind = 7080
	PromiseMissed      Kind = 7081
	RunContinued       Kind = 7070
	RunNotContinued    Kind = 7071
)

var fleetRows = map[Kind]row{
	FleetStarted:       {"fleet-started", "the process listens"},
	FleetStopping:      {"fleet-stopping", "the process was told to stop; an entry is unready and finishes its requests"},
	FleetStopped:       {"fleet-stopped", "the process has finished its work"},
	FleetReloaded:      {"fleet-reloaded", "the settings file was read again"},
	StoreLost:          {"store-lost", "the platform's store does not answer for a kind of objects; what is known stays in force"},
	StoreBack:          {"store-back", "the platform's store answers again"},
	CatalogInForce:     {"catalog-in-force", "a configuration is in force here"},
	CatalogIgnored:     {"catalog-ignored", "a configuration was older than the one in force, gone, or came from an entry that does not say whether requests need keys"},
	TargetListed:       {"target-listed", "a target has an entry in the store"},
	TargetsListed:      {"targets-listed", "the first complete list of targets is known, so many of each service"},
	TargetLeaving:      {"target-leaving", "a target says that it leaves: it gets no more requests"},
	TargetGone:         {"target-gone", "a target's entry is gone or unreadable: it gets no more requests"},
	TargetPaused:       {"target-paused", "a target that turned a request away says for how long it wants none"},
	TargetLimited:      {"target-limited", "a target names how many requests a second it takes from all entries together"},
	TargetUnlimited:    {"target-unlimited", "a target names no limit any more"},
	TargetMissing:      {"target-missing", "a target's entry vanished with an outage of the store: it is kept for a moment"},
	WeightsNamed:       {"weights-named", "new weights of a model were named"},
	EngineLost:         {"engine-lost", "the engine beside the sidecar does not answer"},
	EngineBack:         {"engine-back", "the engine beside the sidecar answers again"},
	EngineBorn:         {"engine-born", "the engine beside the sidecar has started anew: its cache is empty"},
	EngineOther:        {"engine-other", "another program than the listed one answers beside the sidecar: related says that it is of the same service, as the address can't have changed hands"},
	RequestSent:        {"request-sent", "a request was sent to a target, chosen for the reasons named"},
	RequestDone:        {"request-done", "a caller has its whole answer"},
	RequestRejected:    {"request-rejected", "a request that has not run was refused"},
	RequestFailed:      {"request-failed", "a request that may have run ended without a whole answer"},
	RequestLeft:        {"request-left", "the caller left before the answer's end"},
	StreamTakenUp:      {"stream-taken-up", "a caller takes up a stream that broke off: which request began it, and on which software version it goes on"},
	SendUnreached:      {"send-unreached", "a target could not be reached: nothing was sent"},
	SendWithheld:       {"send-withheld", "a target's limit does not allow a request, which goes to another target"},
	SendRejected:       {"send-rejected", "a target said that it did not run the request"},
	SendLost:           {"send-lost", "a target failed or broke off: the request may have run"},
	SendAgain:          {"send-again", "a request goes to another target"},
	SwapSent:           {"swap-sent", "the engine is ordered to load weights"},
	SwapTaken:          {"swap-taken", "the engine took the order"},
	SwapRefused:        {"swap-refused", "the engine did not take the order"},
	SwapUnanswered:     {"swap-unanswered", "the order got no answer: the engine's report will show what became of it"},
	WeightsInPlace:     {"weights-in-place", "the engine serves the named weights"},
	RequestSuspected:   {"request-suspected", "a target broke off while it ran a request: the parts of its prompt, and whether its answer had come for so long that the request is not the cause"},
	ComponentBanned:    {"component-banned", "requests that have all of some components, parts of a prompt or a whole request, are refused from now on, as targets crashed under them"},
	ComponentAcquitted: {"component-acquitted", "a request with a banned component was answered: the ban is lifted, or holds for its other components"},
	LevelChanged:       {"level-changed", "the admission level of a service has changed: how many of its classes of background work are admitted"},
	ConnectionsClosed:  {"connections-closed", "callers' connections were closed, or found no room, since the last such line: crowded for want of room, head and idle for the configured times"},
	AccountUnreadable:  {"account-unreadable", "an account of the configuration can't be read; requests with its keys are refused"},
	PromiseClaimed:     {"promise-claimed", "a refused caller has returned in the window that it was promised: its request goes before new ones"},
	PromiseMissed:      {"promise-missed", "a refused caller has returned in the window that it was promised, and is refused again: its request can't be answered before its deadline, or capacity was lost and the draw went against it"},
	RunContinued:       {"run-continued", "an engine broke off a run, which goes on at the engine that keeps a copy of it"},
	RunNotContinued:    {"run-not-continued", "an engine broke off a run, which does not go on at the engine that was to keep a copy of it"},
	RequestDangerous:   {"request-dangerous", "a request is refused, as targets crashed under all that have its parts or are like it"},
	SpeedLearned:       {"speed-learned", "what a service's engines need, as seen in their answers, has changed by a quarter or more"},
	SpeedAdopted:       {"speed-adopted", "what another process has learned of a service's engines is taken over"},
	CustodyKnown:       {"custody-known", "a new version of which entry gives orders to engines without sidecars"},
	EngineTaken:        {"engine-taken", "an entry gives the engine its orders from now on, as its sidecar is gone"},
	EngineReturned:     {"engine-returned", "the entry gives the engine no more orders"},
	QuotaExceeded:      {"quota-exceeded", "requests of a client account are refused, as its quota is used up"},
	QuotaBack:          {"quota-back", "no request of the client account was refused for its quota of late"},
	PeerLost:           {"peer-lost", "another entry that knows more could not be asked"},
}
