// Package mtmerge lays a data centre's overlay over the base file.
package mtmerge

import (
	"slices"

	"google.golang.org/protobuf/proto"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// BaseName is the base file's name in a manifest. Overlays stand there under
// their data centres' names, so that no data centre may have this one.
const BaseName = "base"

// Merge returns the settings of one data centre. Entries of the same name are
// merged field by field; a field that the overlay gives wins, also where it is
// 0, false or empty; lists within an entry are replaced. A rule of the overlay
// goes before the base file's rules.
//
// Entries that the overlay leaves alone are shared with base, which must not
// change afterwards: 12,000 accounts are not copied for a change of one.
func Merge(base *mustardtidev1.Base, overlay *mustardtidev1.Overlay) *mustardtidev1.Base {
	return &mustardtidev1.Base{
		Datacentres: base.GetDatacentres(),
		Accounts:    lay(base.GetAccounts(), overlay.GetAccounts()),
		Services:    lay(base.GetServices(), overlay.GetServices()),
		Rules:       slices.Concat(overlay.GetRules(), base.GetRules()),
	}
}

// named is an entry of a settings list.
type named interface {
	proto.Message
	GetName() string
}

func lay[E named](entries, overs []E) []E {
	if len(overs) == 0 {
		return entries
	}
	merged := slices.Clone(entries)
	index := make(map[string]int, len(merged))
	for i, entry := range merged {
		index[entry.GetName()] = i
	}
	for _, over := range overs {
		i, known := index[over.GetName()]
		if !known {
			index[over.GetName()] = len(merged)
			merged = append(merged, over)
			continue
		}
		merged[i] = replace(merged[i], over)
	}
	return merged
}

// replace is proto.Merge into a copy, but that lists and durations are
// replaced: proto.Merge would append the one and add up the other's fields.
func replace[E named](entry, over E) E {
	merged := proto.CloneOf(entry)
	fields := over.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if over.ProtoReflect().Has(field) && (field.IsList() || field.Message() != nil) {
			merged.ProtoReflect().Clear(field)
		}
	}
	proto.Merge(merged, over)
	return merged
}
