package mtcheck

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

const (
	schemaPath = "../../../proto/mustardtide/v1/settings.proto"
	fleetPath  = "../../../proto/mustardtide/fleet/v1/fleet.proto"
	pagePath   = "../../../docs/SETTINGS.md"
	// writePage set in the environment writes the page anew.
	writePage = "MUSTARDTIDE_WRITE_PAGE"
)

const pageHead = `# Settings

Generated from the comments of ` + "`proto/mustardtide/v1/settings.proto`" + `, of ` + "`proto/mustardtide/fleet/v1/fleet.proto`" + ` and the ranges of ` + "`internal/settings/mtcheck`" + `; a test holds them equal. To write it anew: ` + "`" + writePage + `=1 go test -run TestPage ./internal/settings/mtcheck` + "`" + `.

First the settings of the product's own interface, then [those of the users' platform](#on-the-users-platform).

Settings are YAML: one document a file, without anchors, aliases, merge keys or tags. A key that is unknown, stands twice or has no value is refused, and so is an empty list in place of names. Durations are written as ` + "`30s`" + `, ` + "`1m30s`" + ` or ` + "`10ms`" + `, true and false as these two words. ` + "`mustardtide check`" + ` lists all faults of a base file with its overlays; examples stand in ` + "`examples/`" + `.

Names are 1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first. No data centre may be called ` + "`base`" + `.
`

const fleetHead = `
## On the users' platform

The platform writes these in its own names, which ` + "`platform/mtboot` and `platform/mtobjects`" + ` decode; nobody writes them in the form below. A process finds its file by an environment variable that the platform sets and reads it again on SIGHUP; the configuration is watched in the platform's store. Fields that no part of the product knows are ignored. ` + "`mustardtide check --boot FILE` and `mustardtide check --catalog FILE`" + ` list every fault with its line. ` + "`deploy/system.toml`" + ` says how the two daemons are built and placed; there is no other setting.
`

// section is a table of the page.
type section struct {
	descriptor protoreflect.MessageDescriptor
	file       string
	bounds     []bound
	spans      []span
}

// fleets are the sections of the users' platform, in their order.
var fleets = []section{
	{(&fleetv1.Site{}).ProtoReflect().Descriptor(), "a process", nil, nil},
	{(&fleetv1.Bounds{}).ProtoReflect().Descriptor(), "a process's bounds", nil, nil},
	{(&fleetv1.Catalog{}).ProtoReflect().Descriptor(), "the configuration in the platform's store", nil, nil},
	{(&fleetv1.Route{}).ProtoReflect().Descriptor(), "an entry of routes", nil, nil},
	{(&fleetv1.Share{}).ProtoReflect().Descriptor(), "an entry of shares", nil, nil},
	{(&fleetv1.Service{}).ProtoReflect().Descriptor(), "an entry of the configuration's services", nil, nil},
	{(&fleetv1.Account{}).ProtoReflect().Descriptor(), "an entry of the configuration's accounts", nil, nil},
	{(&fleetv1.Limits{}).ProtoReflect().Descriptor(), "the configuration's limits", nil, nil},
}

// messages are the sections of the product's own interface, in their order.
var messages = []section{
	{(&mustardtidev1.Base{}).ProtoReflect().Descriptor(), "the base file", nil, nil},
	{(&mustardtidev1.Account{}).ProtoReflect().Descriptor(), "an entry of accounts", accountBounds, nil},
	{(&mustardtidev1.Service{}).ProtoReflect().Descriptor(), "an entry of services", serviceBounds, serviceSpans},
	{(&mustardtidev1.Rule{}).ProtoReflect().Descriptor(), "an entry of rules", nil, ruleSpans},
	{(&mustardtidev1.Overlay{}).ProtoReflect().Descriptor(), "an overlay", nil, nil},
	{(&mustardtidev1.Process{}).ProtoReflect().Descriptor(), "the file of one entry or sidecar (`--settings`)", nil, nil},
	{(&mustardtidev1.Tls{}).ProtoReflect().Descriptor(), "the key tls of a process's file", nil, nil},
}

// comments reads a schema's comments: message and message.field to text.
func comments(g Gomega, path string) map[string]string {
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	found := map[string]string{}
	message := regexp.MustCompile(`^message (\w+) \{`)
	field := regexp.MustCompile(`^  (?:repeated |optional )?[\w.]+ (\w+) = \d+;`)
	var current string
	var pending []string
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		line := lines.Text()
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), "//"):
			pending = append(pending, strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(line), "//")))
			continue
		case message.MatchString(line):
			current = message.FindStringSubmatch(line)[1]
			found[current] = strings.Join(pending, " ")
		case field.MatchString(line):
			found[current+"."+field.FindStringSubmatch(line)[1]] = strings.Join(pending, " ")
		}
		pending = nil
	}
	return found
}

func page(g Gomega) string {
	var b strings.Builder
	b.WriteString(pageHead)
	found := comments(g, schemaPath)
	seen := tables(g, &b, found, messages, "## ", "")
	for key := range found {
		g.Expect(seen[key]).To(BeTrue(), "%s is on no page", key)
	}
	b.WriteString(fleetHead)
	tables(g, &b, comments(g, fleetPath), fleets, "### Platform: ", "platform-")
	return b.String()
}

// tables writes one table for each section and tells which comments it used.
// Sections link to each other by their headings, whose links begin with anchor.
func tables(g Gomega, b *strings.Builder, found map[string]string, sections []section, heading, anchor string) map[string]bool {
	seen := map[string]bool{}
	for _, m := range sections {
		name := string(m.descriptor.Name())
		seen[name] = true
		fmt.Fprintf(b, "\n%s%s\n\nFor %s. %s\n\n| key | value | meaning |\n| --- | --- | --- |\n", heading, name, m.file, found[name])
		for i := range m.descriptor.Fields().Len() {
			f := m.descriptor.Fields().Get(i)
			key := name + "." + string(f.Name())
			g.Expect(found[key]).NotTo(BeEmpty(), "%s has no comment in the schema", key)
			seen[key] = true
			fmt.Fprintf(b, "| `%s` | %s | %s |\n", f.Name(), value(f, anchor, m.bounds, m.spans), found[key])
		}
	}
	return seen
}

// value names a field's type and range.
func value(f protoreflect.FieldDescriptor, anchor string, bounds []bound, spans []span) string {
	kind := map[protoreflect.Kind]string{
		protoreflect.StringKind: "text", protoreflect.BoolKind: "true or false", protoreflect.DoubleKind: "number",
		protoreflect.Uint32Kind: "whole number", protoreflect.Uint64Kind: "whole number",
		protoreflect.Int32Kind: "whole number", protoreflect.Int64Kind: "whole number", protoreflect.EnumKind: "word",
	}[f.Kind()]
	if f.Message() != nil {
		kind = "[" + string(f.Message().Name()) + "](#" + anchor + strings.ToLower(string(f.Message().Name())) + ")"
		if f.Message().Name() == "Duration" {
			kind = "duration"
		}
	}
	if f.IsList() {
		kind = "list of " + kind
	}
	for _, b := range bounds {
		if b.field == string(f.Name()) {
			kind += fmt.Sprintf(", %s to %s", plain(b.least), plain(b.most))
		}
	}
	for _, s := range spans {
		if s.field == string(f.Name()) {
			kind += fmt.Sprintf(", %v to %v", s.least, s.most)
		}
	}
	return kind
}

// TestPage holds docs/SETTINGS.md equal to the schema and the ranges, both
// ways: a key that the page lacks and one that is gone both fail.
func TestPage(t *testing.T) {
	g := NewWithT(t)
	want := page(g)
	if os.Getenv(writePage) != "" {
		g.Expect(os.WriteFile(pagePath, []byte(want), 0o644)).To(Succeed())
	}
	got, err := os.ReadFile(pagePath)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(want))
	for _, m := range messages {
		for _, b := range m.bounds {
			g.Expect(m.descriptor.Fields().ByName(protoreflect.Name(b.field))).NotTo(BeNil(), b.field)
		}
		for _, s := range m.spans {
			g.Expect(m.descriptor.Fields().ByName(protoreflect.Name(s.field))).NotTo(BeNil(), s.field)
		}
	}
}
