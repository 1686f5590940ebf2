package mtevents

import "strings"

// mediaType is that of server-sent events.
const mediaType = "text/event-stream"

// Carried says that a body with a Content-Type is a stream of server-sent events.
func Carried(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(kind), mediaType)
}
