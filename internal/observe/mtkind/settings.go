package mtkind

// Events of the settings plane.
const (
	SettingsAdopted   Kind = 3001
	SettingsFetched   Kind = 3002
	SettingsRejected  Kind = 3003
	SettingsStale     Kind = 3004
	SettingsSubmitted Kind = 3010
	WatchLost         Kind = 3020
	WatchBack         Kind = 3021
)

var settingsRows = map[Kind]row{
	SettingsAdopted:   {"settings-adopted", "a revision is in force in this process"},
	SettingsFetched:   {"settings-fetched", "a revision came from a peer"},
	SettingsRejected:  {"settings-rejected", "a revision could not be read and is not in force"},
	SettingsStale:     {"settings-stale", "a lower revision was offered and not taken"},
	SettingsSubmitted: {"settings-submitted", "an operator's submit was accepted"},
	WatchLost:         {"watch-lost", "the watch on the platform broke"},
	WatchBack:         {"watch-back", "the watch on the platform is back"},
}
