package mtcode

import "net/http"

// Results of submitting settings.
const (
	SettingsInvalid  Code = 501
	SettingsRaced    Code = 502
	SettingsUnsure   Code = 503
	SettingsMissing  Code = 504
	SettingsTooLarge Code = 505
)

var settingsRows = map[Code]row{
	SettingsInvalid:  {"settings-invalid", http.StatusBadRequest, "the settings are not valid; nothing was submitted", "mend the line that the message names and run `mustardtide check`"},
	SettingsRaced:    {"settings-raced", http.StatusConflict, "another submit came first; nothing of yours was submitted", "run `mustardtide diff`, take in the change and submit again"},
	SettingsUnsure:   {"settings-unsure", http.StatusBadGateway, "the platform did not say whether the submit took effect", "run `mustardtide show`; submitting the same files again is safe"},
	SettingsMissing:  {"settings-missing", http.StatusServiceUnavailable, "no settings are in force", "submit a base file"},
	SettingsTooLarge: {"settings-too-large", http.StatusBadRequest, "a settings file is larger than an object may be", "move what differs into overlays"},
}
