// Package mtdigest keeps an entry's digest within one datagram.
package mtdigest

import (
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
)

// Fit drops what can be told later until the digest has at most so many bytes: bans first, then
// the limits of targets that are told last, then acquittals, then the crashes that are told last.
func Fit(digest *fleetv1.Digest, most int) {
	for proto.Size(digest) > most && len(digest.GetBans()) > 0 {
		digest.Bans = digest.Bans[1:]
	}
	for proto.Size(digest) > most && len(digest.GetLimits()) > 0 {
		digest.Limits = digest.Limits[:len(digest.GetLimits())-1]
	}
	for proto.Size(digest) > most && len(digest.GetAcquittals()) > 0 {
		digest.Acquittals = digest.Acquittals[1:]
	}
	for proto.Size(digest) > most && len(digest.GetCrashes()) > 0 {
		digest.Crashes = digest.Crashes[:len(digest.GetCrashes())-1]
	}
}
