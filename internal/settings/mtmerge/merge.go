// Package mtmerge lays a data centre's overlay over the base file.
package mtmerge

import (
	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// Merge returns the settings of one data centre. Entries of the same name are
// merged field by field, a set field of the overlay winning; lists within an
// entry are replaced. A rule of the overlay goes before the base file's rules.
func Merge(base *mustardtidev1.Base, overlay *mustardtidev1.Overlay) *mustardtidev1.Base {
	merged := proto.CloneOf(base)
	if overlay == nil {
		return merged
	}
	for _, account := range overlay.GetAccounts() {
		merged.Accounts = lay(merged.GetAccounts(), account)
	}
	for _, service := range overlay.GetServices() {
		merged.Services = lay(merged.GetServices(), service)
	}
	merged.Rules = append(proto.CloneOf(overlay).GetRules(), merged.GetRules()...)
	return merged
}

// named is an entry of a settings list.
type named interface {
	proto.Message
	GetName() string
}

func lay[E named](entries []E, over E) []E {
	for _, entry := range entries {
		if entry.GetName() == over.GetName() {
			replace(entry, over)
			return entries
		}
	}
	return append(entries, proto.CloneOf(over))
}

// replace is proto.Merge, but that lists are replaced instead of appended to.
func replace(entry, over proto.Message) {
	fields := over.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if over.ProtoReflect().Has(field) && field.IsList() {
			entry.ProtoReflect().Clear(field)
		}
	}
	proto.Merge(entry, over)
}
