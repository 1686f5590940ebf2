package mtcheck

import (
	"fmt"
	"regexp"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/settings/mtfinding"
	"github.com/mustardtide/mustardtide/internal/settings/mtschema"
)

// Names stand in paths, headers and logs: letters that need no escape there.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "use 1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first"

func validName(name string) bool { return namePattern.MatchString(name) }

// file is one decoded settings file, with the paths of its named entries.
type file struct {
	decoder *mtschema.Decoder
	paths   map[string]string
}

func newFile(label string, findings *mtfinding.List) *file {
	return &file{decoder: mtschema.Into(label, findings), paths: map[string]string{}}
}

// index notes where each entry stands and refuses names that stand twice.
func (f *file) index(accounts []*mustardtidev1.Account, services []*mustardtidev1.Service, rules []*mustardtidev1.Rule) {
	for i, account := range accounts {
		f.add("accounts", i, account.GetName())
	}
	for i, service := range services {
		f.add("services", i, service.GetName())
	}
	f.unreachable(rules)
}

func (f *file) add(list string, i int, name string) {
	at := fmt.Sprintf("%s[%d]", list, i)
	switch first, twice := f.paths[list+"/"+name]; {
	case !validName(name):
		f.decoder.Refuse(at+".name", fmt.Sprintf("%q is no name", name), nameRule)
	case twice:
		f.decoder.Refuse(at+".name", fmt.Sprintf("%q stands on line %d already", name, f.decoder.Line(first+".name")), "remove one of the two")
	default:
		f.paths[list+"/"+name] = at
	}
}

// unreachable refuses a rule that an earlier one of the same file covers: the
// first that fits decides, so that the later would never be used. An overlay's
// rule may cover the base file's: that is what it is for.
func (f *file) unreachable(rules []*mustardtidev1.Rule) {
	first := map[[2]string]int{}
	for i, rule := range rules {
		account, service := pattern(rule.GetAccount()), pattern(rule.GetService())
		for _, cover := range [][2]string{{account, service}, {anyName, service}, {account, anyName}, {anyName, anyName}} {
			earlier, covered := first[cover]
			if !covered {
				continue
			}
			f.decoder.Refuse(fmt.Sprintf("rules[%d]", i),
				fmt.Sprintf("the rule is never used: rules[%d] on line %d fits first", earlier, f.decoder.Line(fmt.Sprintf("rules[%d]", earlier))),
				"put the narrower rule first, or remove one")
			break
		}
		if _, known := first[[2]string{account, service}]; !known {
			first[[2]string{account, service}] = i
		}
	}
}

// anyName is a rule's word for every account or service.
const anyName = "*"

// pattern reads a rule's account or service; one that is left out means any.
func pattern(name string) string {
	if name == "" {
		return anyName
	}
	return name
}
