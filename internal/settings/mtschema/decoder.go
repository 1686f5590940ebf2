// Package mtschema reads YAML settings into the messages of the schema.
package mtschema

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

const durationName = "google.protobuf.Duration"

// Decoder reads one file. Its errors name file, line and path.
type Decoder struct {
	file  string
	lines map[string]int
}

// New returns a decoder for the file of that name.
func New(file string) *Decoder {
	return &Decoder{file: file, lines: map[string]int{}}
}

// Decode reads text into a message of the schema. Unknown and repeated keys
// are refused.
func (d *Decoder) Decode(text []byte, into proto.Message) error {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return trace.BadParameter("%s: %v", d.file, err)
	}
	if len(document.Content) == 0 {
		return trace.BadParameter("%s:1: the file is empty", d.file)
	}
	return d.message(document.Content[0], into.ProtoReflect(), "")
}

// Line gives the line of a path such as accounts[1].weight; 0 if it is not in
// the file.
func (d *Decoder) Line(path string) int { return d.lines[path] }

// Refuse returns an error at a path of the decoded file.
func (d *Decoder) Refuse(path, format string, args ...any) error {
	return trace.BadParameter("%s:%d: %s: %s", d.file, d.lines[path], path, fmt.Sprintf(format, args...))
}

func (d *Decoder) message(node *yaml.Node, m protoreflect.Message, path string) error {
	if node.Kind != yaml.MappingNode {
		return d.wrong(node, path, "a mapping")
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := join(path, key.Value)
		d.lines[at] = key.Line
		if seen[key.Value] {
			return d.Refuse(at, "the key stands twice; remove one")
		}
		seen[key.Value] = true
		field := m.Descriptor().Fields().ByName(protoreflect.Name(key.Value))
		if field == nil {
			return d.Refuse(at, "unknown key; did you mean %q?", nearest(key.Value, m.Descriptor().Fields()))
		}
		if err := d.field(value, m, field, at); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (d *Decoder) field(node *yaml.Node, m protoreflect.Message, field protoreflect.FieldDescriptor, path string) error {
	if field.IsList() {
		return d.list(node, m, field, path)
	}
	if field.Message() != nil && field.Message().FullName() != durationName {
		return d.message(node, m.Mutable(field).Message(), path)
	}
	value, err := d.scalar(node, field, path)
	if err != nil {
		return trace.Wrap(err)
	}
	m.Set(field, value)
	return nil
}

func (d *Decoder) list(node *yaml.Node, m protoreflect.Message, field protoreflect.FieldDescriptor, path string) error {
	if node.Kind != yaml.SequenceNode {
		return d.wrong(node, path, "a list")
	}
	list := m.Mutable(field).List()
	for i, item := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = item.Line
		if field.Message() != nil {
			if err := d.message(item, list.AppendMutable().Message(), at); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		value, err := d.scalar(item, field, at)
		if err != nil {
			return trace.Wrap(err)
		}
		list.Append(value)
	}
	return nil
}

func (d *Decoder) scalar(node *yaml.Node, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, error) {
	if node.Kind != yaml.ScalarNode {
		return protoreflect.Value{}, d.wrong(node, path, "a single value")
	}
	value, want, err := parse(node.Value, field)
	if err != nil {
		return protoreflect.Value{}, d.wrong(node, path, want)
	}
	return value, nil
}

// parse turns a scalar's text into the field's type and names that type.
func parse(text string, field protoreflect.FieldDescriptor) (protoreflect.Value, string, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), "a text", nil
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(b), "true or false", err
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), "a whole number, not negative", err
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), "a whole number, not negative", err
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(n), "a number", err
	case protoreflect.MessageKind:
		span, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(span).ProtoReflect()), "a duration such as 30s", err
	default:
		return protoreflect.Value{}, "a type that settings have", trace.NotImplemented("settings have no %s", field.Kind())
	}
}

func (d *Decoder) wrong(node *yaml.Node, path, want string) error {
	d.lines[path] = node.Line
	return d.Refuse(path, "%q is not %s", node.Value, want)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
