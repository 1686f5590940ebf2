package mtfront

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtkind"
	"github.com/mustardtide/mustardtide/internal/placement/mtboard"
)

const (
	// crashes is how many targets a request must break before it is refused: a
	// sound one meets that many breaking targets within minutes only where the
	// fleet has other troubles.
	crashes = 3
	// fingerprintSize is the length of a fingerprint in bytes.
	fingerprintSize = 16
	// tellTime is how long other entries are told of a break, in every digest:
	// a caller sends such a request again within seconds, at any entry.
	tellTime = 5 * time.Second
	// maxTold bounds the breaks in a digest; a crash breaks as many requests as
	// the engine ran.
	maxTold = 24
	// maxBans bounds the refused requests in a digest: an entry that starts hears of all
	// within seconds.
	maxBans = 8
	// dangerAgain is when a caller of such a request may ask again.
	dangerAgain = 30 * time.Second
)

// breakage is one break of which other entries are told.
type breakage struct {
	suspect *fleetv1.Suspect
	since   time.Time
}

// fingerprint names requests of the same account, path and body.
func (r *request) fingerprint() []byte {
	hash := sha256.New()
	for _, text := range [][]byte{[]byte(r.account.GetName()), []byte(r.in.Method), []byte(r.in.Host), []byte(r.uri), r.body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		hash.Write(length[:])
		hash.Write(text)
	}
	return hash.Sum(nil)[:fingerprintSize]
}

// broke notes that a target broke off while it ran the request. A request that
// crashes targets comes again, and without this takes one more down each time.
func (r *request) broke(choice *mtboard.Choice) {
	suspect := &fleetv1.Suspect{Digest: r.fingerprint(), Source: choice.Incarnation()}
	r.front.suspects.Crash(suspect.GetDigest(), suspect.GetSource())
	r.front.mu.Lock()
	r.front.fresh = append(r.front.fresh, breakage{suspect, time.Now()})
	r.front.mu.Unlock()
	r.front.alarm()
	r.front.trail.Warn(mtkind.RequestSuspected, append(r.fields(), zap.String("target", suspect.GetSource()),
		zap.Strings("parts", r.partNames()), zap.Duration("first", r.first), zap.Int("breaks", r.front.suspects.Crashes(suspect.GetDigest())))...)
}

const (
	// loggedParts and loggedName bound what a caller's list of parts adds to a log line.
	loggedParts = 16
	loggedName  = 32
)

// partNames returns the ids of the prompt's first parts for the log.
func (r *request) partNames() []string {
	parts := r.ask.GetParts()
	var names []string
	for _, part := range parts[:min(len(parts), loggedParts)] {
		names = append(names, part.GetId()[:min(len(part.GetId()), loggedName)])
	}
	return names
}

// recent lists the breaks of which other entries are still told.
func (f *Front) recent() []*fleetv1.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.fresh) > 0 && time.Since(f.fresh[0].since) > tellTime {
		f.fresh = f.fresh[1:]
	}
	var list []*fleetv1.Suspect
	for _, b := range f.fresh[max(0, len(f.fresh)-maxTold):] {
		list = append(list, b.suspect)
	}
	return list
}

// banned lists some of the requests that are refused here, for entries that have started
// since other entries were told of their breaks.
func (f *Front) banned() []*fleetv1.Ban {
	var list []*fleetv1.Ban
	for digest, age := range f.suspects.Sample(maxBans) {
		list = append(list, &fleetv1.Ban{Digest: bytes.Clone(digest), Age: durationpb.New(age)})
	}
	return list
}
