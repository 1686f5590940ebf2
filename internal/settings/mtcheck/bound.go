package mtcheck

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// bound is the range of one number. A number that is left out is not checked:
// the schema's comments say what holds then.
type bound struct {
	field string
	least float64
	most  float64
}

// span is the range of one duration.
type span struct {
	field string
	least time.Duration
	most  time.Duration
}

// The ranges refuse a slip of the pen, such as a size in the wrong unit, not
// an unusual fleet: each end is at least ten times beyond the users' sizes.
var (
	accountBounds = []bound{
		{"weight", 0.001, 1e6},
		{"rate", 1, 1e9},
		{"burst", 1, 1e12},
		{"streams", 1, 1e6},
	}
	serviceBounds = []bound{
		{"body", 1, 64 << 20},
		{"granule", 1, 1 << 16},
		{"stride", 1, 1 << 12},
		{"slots", 1, 1 << 14},
		{"memory", 1, 1e12},
		{"prefill", 1, 1e9},
		{"loads", 1, 1 << 14},
		{"retry", 0, 1},
	}
	serviceSpans = []span{
		{"deadline", time.Millisecond, 24 * time.Hour},
		{"decode", 10 * time.Microsecond, 10 * time.Second},
		{"keep", time.Minute, 30 * 24 * time.Hour},
	}
	ruleSpans = []span{
		{"deadline", time.Millisecond, 24 * time.Hour},
	}
)

// outside says what is wrong with a given number, and what to write.
func (b bound) outside(m protoreflect.Message) (string, string, bool) {
	field := m.Descriptor().Fields().ByName(protoreflect.Name(b.field))
	if !m.Has(field) {
		return "", "", false
	}
	value := number(m.Get(field))
	if value >= b.least && value <= b.most {
		return "", "", false
	}
	return plain(value) + " is out of range", fmt.Sprintf("write a number from %s to %s", plain(b.least), plain(b.most)), true
}

// outside says what is wrong with a given duration, and what to write.
func (s span) outside(m protoreflect.Message) (string, string, bool) {
	field := m.Descriptor().Fields().ByName(protoreflect.Name(s.field))
	if !m.Has(field) {
		return "", "", false
	}
	given, ok := m.Get(field).Message().Interface().(*durationpb.Duration)
	if !ok {
		return "", "", false
	}
	if value := given.AsDuration(); value < s.least || value > s.most {
		return value.String() + " is out of range", fmt.Sprintf("write a duration from %v to %v", s.least, s.most), true
	}
	return "", "", false
}

func number(value protoreflect.Value) float64 {
	switch v := value.Interface().(type) {
	case float64:
		return v
	case uint32:
		return float64(v)
	case uint64:
		return float64(v)
	default:
		return 0
	}
}

func plain(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
