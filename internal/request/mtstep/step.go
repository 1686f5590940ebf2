// Package mtstep names what the owner of a claims shard must do next.
package mtstep

// Step is one call of the platform, or none.
type Step uint8

const (
	// Idle needs no call: every claim asked for has its record.
	Idle Step = iota
	// Load lists the shard's segments and then its packs.
	Load
	// Create makes the drafted segment, which must not exist yet.
	Create
	// Read reads the segment of the draft's number.
	Read
	// Verify reads the segment before it.
	Verify
)

// String names the step for logs and tests.
func (s Step) String() string {
	return [...]string{"idle", "load", "create", "read", "verify"}[s]
}
