// Package mtschema reads YAML settings into the messages of the schema.
package mtschema

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/mustardtide/mustardtide/internal/settings/mtfinding"
)

const durationName = "google.protobuf.Duration"

// MaxText bounds a settings file in bytes. 12,000 client accounts take 2.4 MB
// (TestChangeCost); three times that still parses in less than a second.
const MaxText = 8 << 20

// Decoder reads one file. It goes on after a fault, so that an operator sees
// all of them at once; each names file, line and path.
type Decoder struct {
	file     string
	lines    map[string]int
	findings *mtfinding.List
}

// New returns a decoder for the file of that name.
func New(file string) *Decoder {
	return Into(file, &mtfinding.List{})
}

// Into returns a decoder that adds its findings to a list.
func Into(file string, findings *mtfinding.List) *Decoder {
	return &Decoder{file: file, lines: map[string]int{}, findings: findings}
}

// Decode reads text into a message of the schema. The error, of type
// trace.BadParameter, holds all findings so far.
func (d *Decoder) Decode(text []byte, into proto.Message) error {
	before := d.findings.Len()
	if root := d.parse(text); root != nil {
		d.message(root, into.ProtoReflect(), "")
	}
	if d.findings.Len() == before {
		return nil
	}
	return trace.Wrap(trace.BadParameter("%v", d.findings.Err()))
}

// Line gives the line of a path such as accounts[1].weight; 0 if it is not in
// the file.
func (d *Decoder) Line(path string) int { return d.lines[path] }

// File is the name that findings give.
func (d *Decoder) File() string { return d.file }

// Refuse adds a finding at a path of the decoded file.
func (d *Decoder) Refuse(path, text, next string) {
	d.findings.Add(d.file, max(1, d.lines[path]), path, text, next)
}

// parse reads the one document of a file.
func (d *Decoder) parse(text []byte) *yaml.Node {
	if len(text) > MaxText {
		d.Refuse("", fmt.Sprintf("the file has %d bytes, more than %d", len(text), MaxText), "move what differs into overlays")
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document, second yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			d.Refuse("", "the file is empty", "write the settings into it")
			return nil
		}
		d.Refuse("", err.Error(), "mend the YAML")
		return nil
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.findings.Add(d.file, max(1, second.Line), "", "a second document begins", "keep one document in a file")
		return nil
	}
	return document.Content[0]
}

func (d *Decoder) message(node *yaml.Node, m protoreflect.Message, path string) {
	if !d.plain(node, path) {
		return
	}
	if node.Kind != yaml.MappingNode {
		d.wrong(node, path, "a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := join(path, key.Value)
		if seen[key.Value] {
			d.findings.Add(d.file, key.Line, at, "the key stands twice", "remove one")
			continue
		}
		seen[key.Value] = true
		d.lines[at] = key.Line
		d.entry(key, value, m, at)
	}
}

func (d *Decoder) entry(key, value *yaml.Node, m protoreflect.Message, path string) {
	if key.Value == "<<" {
		d.Refuse(path, "merge keys are not taken", "write the keys out")
		return
	}
	fields := m.Descriptor().Fields()
	field := fields.ByName(protoreflect.Name(key.Value))
	if field == nil {
		d.Refuse(path, "unknown key", fmt.Sprintf("did you mean %q?", nearest(key.Value, fields)))
		return
	}
	d.field(value, m, field, path)
}

func (d *Decoder) field(node *yaml.Node, m protoreflect.Message, field protoreflect.FieldDescriptor, path string) {
	switch {
	case field.IsList():
		d.list(node, m, field, path)
	case field.Message() != nil && field.Message().FullName() != durationName:
		d.message(node, m.Mutable(field).Message(), path)
	default:
		if value, ok := d.scalar(node, field, path); ok {
			m.Set(field, value)
		}
	}
}

func (d *Decoder) list(node *yaml.Node, m protoreflect.Message, field protoreflect.FieldDescriptor, path string) {
	if !d.plain(node, path) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.wrong(node, path, "a list")
		return
	}
	if len(node.Content) == 0 && field.Message() == nil {
		// A list has no "given as empty": an overlay's empty list would leave
		// the base file's in force without a word.
		d.Refuse(path, "the list is empty", "leave the key out, or name at least one")
		return
	}
	list := m.Mutable(field).List()
	for i, item := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = item.Line
		if field.Message() != nil {
			d.message(item, list.AppendMutable().Message(), at)
			continue
		}
		if value, ok := d.scalar(item, field, at); ok {
			list.Append(value)
		}
	}
}

func (d *Decoder) scalar(node *yaml.Node, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	if !d.plain(node, path) {
		return protoreflect.Value{}, false
	}
	value, want, err := parse(node.Value, field)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.wrong(node, path, want)
		return protoreflect.Value{}, false
	}
	return value, true
}

// plain refuses what would make a file mean something else than it shows:
// aliases expand to text that stands elsewhere, tags change a value's type,
// and an empty value is neither given nor left out.
func (d *Decoder) plain(node *yaml.Node, path string) bool {
	if d.lines[path] == 0 {
		d.lines[path] = node.Line
	}
	switch {
	case node.Kind == yaml.AliasNode, node.Anchor != "":
		d.Refuse(path, "anchors and aliases are not taken", "write the value out")
	case node.Style&yaml.TaggedStyle != 0:
		d.Refuse(path, "tags are not taken", "write the value without "+node.Tag)
	case node.Tag == "!!null":
		d.Refuse(path, "the key has no value", "give one, or leave the key out")
	default:
		return true
	}
	return false
}

func (d *Decoder) wrong(node *yaml.Node, path, want string) {
	d.lines[path] = node.Line
	found := fmt.Sprintf("%q", node.Value)
	if node.Kind == yaml.MappingNode {
		found = "a mapping"
	}
	if node.Kind == yaml.SequenceNode {
		found = "a list"
	}
	d.Refuse(path, found+" stands here", "write "+want)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
