// Package mtcompile reads settings files piece by piece and keeps what it has
// read: a change of one client account among 12,000 costs a process the
// reading of one piece.
package mtcompile

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtmerge"
	"github.com/mustardtide/mustardtide/internal/settings/mtpiece"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// pieceKey names a piece as it is read: the same text means other things in
// another list or file.
type pieceKey struct {
	digest string
	list   string
	kind   protoreflect.FullName
}

// part is a piece as read, and the list that is open at its end.
type part struct {
	message proto.Message
	open    string
}

// Compiler reads the settings of one data centre. It is not safe for
// concurrent use.
type Compiler struct {
	read map[pieceKey]part
	next map[pieceKey]part
}

// New returns a Compiler that has read nothing.
func New() *Compiler {
	return &Compiler{read: map[pieceKey]part{}}
}

// Compile merges a base file and an overlay, which may be empty. What it
// returns shares messages with earlier results and must not be changed.
func (c *Compiler) Compile(base, overlay []mtpiece.Piece) (*mustardtidev1.Base, error) {
	c.next = map[pieceKey]part{}
	common := &mustardtidev1.Base{}
	if err := c.file(mtmerge.BaseName, base, common); err != nil {
		return nil, trace.Wrap(err)
	}
	over := &mustardtidev1.Overlay{}
	if len(overlay) > 0 {
		if err := c.file("overlay", overlay, over); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	// Pieces that this revision does not have are forgotten.
	c.read = c.next
	return mtmerge.Merge(common, over), nil
}

// Whole says whether a file reads the same in these pieces as in one.
func Whole(text []byte, pieces []mtpiece.Piece, empty proto.Message) bool {
	whole, parts := proto.Clone(empty), proto.Clone(empty)
	if err := mtschema.New("").Decode(text, whole); err != nil {
		return false
	}
	c := New()
	c.next = map[pieceKey]part{}
	return c.file("", pieces, parts) == nil && proto.Equal(whole, parts)
}

func (c *Compiler) file(name string, pieces []mtpiece.Piece, into proto.Message) error {
	list := ""
	for _, piece := range pieces {
		p, err := c.piece(name, piece, list, into)
		if err != nil {
			return trace.Wrap(err)
		}
		join(into.ProtoReflect(), p.message.ProtoReflect())
		list = p.open
	}
	return nil
}

// piece reads one piece, after the key of the list that is open at its start.
func (c *Compiler) piece(name string, piece mtpiece.Piece, list string, like proto.Message) (part, error) {
	key := pieceKey{digest: piece.Digest(), list: list, kind: like.ProtoReflect().Descriptor().FullName()}
	p, known := c.read[key]
	if !known {
		text := piece.Text()
		if list != "" {
			text = append([]byte(list+":\n"), text...)
		}
		p = part{message: like.ProtoReflect().New().Interface(), open: mtpiece.List(list, piece)}
		if err := mtschema.New(name).Decode(text, p.message); err != nil {
			return part{}, trace.Wrap(err)
		}
	}
	c.next[key] = p
	return p, nil
}

// join appends a part's lists and sets its other fields, without a copy of the
// messages.
func join(into, part protoreflect.Message) {
	part.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !field.IsList() {
			into.Set(field, value)
			return true
		}
		list := into.Mutable(field).List()
		for i := range value.List().Len() {
			list.Append(value.List().Get(i))
		}
		return true
	})
}
