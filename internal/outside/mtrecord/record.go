// Package mtrecord is one object of the platform's object API.
package mtrecord

// Record is a named value with the version that conditional updates name.
// It is immutable.
type Record struct {
	name    string
	version string
	data    []byte
}

// New returns a record as the platform gave it.
func New(name, version string, data []byte) Record {
	return Record{name: name, version: version, data: data}
}

// Name is the object's name; what stands before its last dot is its group.
func (r Record) Name() string { return r.name }

// Version is the platform's opaque version of this value.
func (r Record) Version() string { return r.version }

// Data is the value; the caller must not change it.
func (r Record) Data() []byte { return r.data }
