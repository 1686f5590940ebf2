package mtschema

import (
	"math"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// parse turns a scalar's text into the field's type and names that type.
func parse(text string, field protoreflect.FieldDescriptor) (protoreflect.Value, string, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), "a text", nil
	case protoreflect.BoolKind:
		b, err := boolean(text)
		return protoreflect.ValueOfBool(b), "true or false", err
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), "a whole number from 0 to 4294967295", err
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), "a whole number, not negative", err
	case protoreflect.DoubleKind:
		n, err := number(text)
		return protoreflect.ValueOfFloat64(n), "a finite number", err
	case protoreflect.MessageKind:
		span, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(span).ProtoReflect()), "a duration such as 30s", err
	default:
		return protoreflect.Value{}, "a type that settings have", trace.NotImplemented("settings have no %s", field.Kind())
	}
}

// boolean takes YAML 1.2's two words alone: "on" and "1" mean other things to
// other readers.
func boolean(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, trace.BadParameter("no boolean")
	}
}

// number refuses NaN and the infinities: every comparison with a NaN is false,
// so that a NaN limit would pass each check and bound nothing.
func number(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, trace.BadParameter("not finite")
	}
	return n, nil
}
