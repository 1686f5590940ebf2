// Package mtpartition separates the cached prompts of isolated client accounts from those of all
// others.
//
// Engines tell cached parts apart by a salt alone, and not by whose request made them. An isolated
// account has a partition of its own. The others share one that follows from the set of isolated
// accounts: what an account cached before it became isolated stays behind in the partition of the
// set of that time, which nobody uses as long as the account is isolated. Processes that follow the
// same configuration agree on the partitions without state or messages.
package mtpartition

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strconv"
)

const (
	// ownMark and sharedMark begin the two kinds of partitions. No version of weights contains the
	// first character.
	ownMark    = "#a"
	sharedMark = "#s"
	// digestSize is that of a partition's digest in bytes.
	digestSize = 12
)

// Partitions are those of one configuration. They do not change.
type Partitions struct {
	// own are the partitions of the isolated accounts by their names.
	own    map[string]string
	shared string
}

// New returns the partitions where the accounts of some names are isolated. The order of the names
// and repeated ones make no difference.
func New(isolated []string) *Partitions {
	names := slices.Clone(isolated)
	slices.Sort(names)
	names = slices.Compact(names)
	p := &Partitions{own: make(map[string]string, len(names))}
	for _, name := range names {
		p.own[name] = Own(name)
	}
	if len(names) > 0 {
		p.shared = sharedMark + digest(names...)
	}
	return p
}

// Shared returns the partition of all accounts that are not isolated: "" if none is.
func (p *Partitions) Shared() string { return p.shared }

// Of returns the partition of an account: its own if it is isolated.
func (p *Partitions) Of(account string) string {
	if own, isolated := p.own[account]; isolated {
		return own
	}
	return p.shared
}

// Own returns the partition of an account that shares none.
func Own(account string) string { return ownMark + digest(account) }

// Salt returns the salt of a partition's parts for a version of a model's weights. Salts of other
// models, versions or partitions differ, whatever the names: read from its end, a salt is a
// partition of fixed size or none, the digits of a version, and a model.
func Salt(model string, version int64, partition string) string {
	return model + "@" + strconv.FormatInt(version, 10) + partition
}

// digest returns a digest of a list of texts.
func digest(texts ...string) string {
	hash := sha256.New()
	for _, text := range texts {
		hash.Write(binary.AppendUvarint(nil, uint64(len(text))))
		hash.Write([]byte(text))
	}
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:digestSize])
}
