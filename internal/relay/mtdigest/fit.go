// Package mtdigest keeps an entry's digest within one datagram.
package mtdigest

import (
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Fit drops what can be told later until the digest has at most so many bytes: refused
// requests first, then the limits of targets that are told last, then the oldest suspects.
func Fit(digest *fleetv1.Digest, most int) {
	for proto.Size(digest) > most && len(digest.GetBans()) > 0 {
		digest.Bans = digest.Bans[1:]
	}
	for proto.Size(digest) > most && len(digest.GetLimits()) > 0 {
		digest.Limits = digest.Limits[:len(digest.GetLimits())-1]
	}
	for proto.Size(digest) > most && len(digest.GetSuspects()) > 0 {
		digest.Suspects = digest.Suspects[1:]
	}
}
