package mtcheck

import (
	"fmt"
	"regexp"

	"google.golang.org/protobuf/reflect/protoreflect"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// hashPattern is a SHA-256 as sha256sum prints it.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Words of the schema.
const (
	kindModel  = "model"
	kindPlain  = "plain"
	classShort = "short"
	classLong  = "long"
)

// view is one data centre's settings with the files they come from.
type view struct {
	base    *file
	overlay *file
}

// refuse adds a finding where the field of an entry stands: in the overlay if
// it gives the field, else in the base file.
func (v *view) refuse(list, name, field, text, next string) {
	at, path := v.find(list, name, field)
	if at != nil {
		at.decoder.Refuse(path, text, next)
	}
}

func (v *view) find(list, name, field string) (*file, string) {
	var at *file
	var path string
	for _, f := range []*file{v.base, v.overlay} {
		if f == nil {
			continue
		}
		entry, known := f.paths[list+"/"+name]
		if !known {
			continue
		}
		if at == nil || f.decoder.Line(entry+"."+field) > 0 {
			at, path = f, entry+"."+field
		}
	}
	if at != nil && at.decoder.Line(path) == 0 {
		path = at.paths[list+"/"+name]
	}
	return at, path
}

func (v *view) accounts(accounts []*mustardtidev1.Account) {
	holders := map[string]string{}
	for _, account := range accounts {
		v.ranges("accounts", account.GetName(), account.ProtoReflect(), accountBounds, nil)
		for i, hash := range account.GetHashes() {
			field := fmt.Sprintf("hashes[%d]", i)
			holder, taken := holders[hash]
			switch {
			case !hashPattern.MatchString(hash):
				v.refuse("accounts", account.GetName(), field, fmt.Sprintf("%q is no SHA-256 in lower-case hexadecimal", hash), "write what printf %s \"$KEY\" | sha256sum prints")
			case taken:
				v.refuse("accounts", account.GetName(), field, fmt.Sprintf("the key belongs to account %q already", holder), "give each account keys of its own")
			}
			holders[hash] = account.GetName()
		}
	}
}

func (v *view) services(services []*mustardtidev1.Service) {
	names := map[string]bool{}
	for _, service := range services {
		names[service.GetName()] = true
	}
	for _, service := range services {
		name := service.GetName()
		v.ranges("services", name, service.ProtoReflect(), serviceBounds, serviceSpans)
		switch service.GetKind() {
		case kindModel:
			v.model(service, names)
		case kindPlain:
		default:
			v.refuse("services", name, "kind", fmt.Sprintf("%q is no kind of service", service.GetKind()), "write model or plain")
		}
	}
}

// model checks what only model services have. A caller addresses a service by
// its model or its own name; a model that is another service's name would take
// that service's requests.
func (v *view) model(service *mustardtidev1.Service, names map[string]bool) {
	name := service.GetName()
	if service.GetModel() == "" {
		v.refuse("services", name, "model", "the service names no model", "write model: NAME, the name that callers send")
	}
	if model := service.GetModel(); model != name && names[model] {
		v.refuse("services", name, "model", fmt.Sprintf("the model %q is another service's name, so that callers can't address both", model), "rename one of the two")
	}
	if service.GetGranule() == 0 {
		v.refuse("services", name, "granule", "a model service needs a granule", "write the engine's cache block in bytes of prompt")
	}
	if service.GetStride() == 0 {
		v.refuse("services", name, "stride", "a model service needs a stride", "write the number of granules between two marks, such as 16")
	}
}

// rules checks the merged rules; the first mine of them are the overlay's.
func (v *view) rules(settings *mustardtidev1.Base, mine int) {
	accounts, services := map[string]bool{anyName: true}, map[string]bool{anyName: true}
	for _, account := range settings.GetAccounts() {
		accounts[account.GetName()] = true
	}
	for _, service := range settings.GetServices() {
		services[service.GetName()] = true
	}
	for i, rule := range settings.GetRules() {
		at, index := v.overlay, i
		if i >= mine {
			at, index = v.base, i-mine
		}
		path := fmt.Sprintf("rules[%d]", index)
		if account := pattern(rule.GetAccount()); !accounts[account] {
			at.decoder.Refuse(path+".account", fmt.Sprintf("there is no account %q", account), "name one of accounts, or \"*\"")
		}
		if service := pattern(rule.GetService()); !services[service] {
			at.decoder.Refuse(path+".service", fmt.Sprintf("there is no service %q", service), "name one of services, or \"*\"")
		}
		if class := rule.GetClass(); class != "" && class != classShort && class != classLong {
			at.decoder.Refuse(path+".class", fmt.Sprintf("%q is no class", class), "write short or long")
		}
		for _, s := range ruleSpans {
			if text, next, bad := s.outside(rule.ProtoReflect()); bad {
				at.decoder.Refuse(path+"."+s.field, text, next)
			}
		}
	}
}

func (v *view) ranges(list, name string, m protoreflect.Message, bounds []bound, spans []span) {
	for _, b := range bounds {
		if text, next, bad := b.outside(m); bad {
			v.refuse(list, name, b.field, text, next)
		}
	}
	for _, s := range spans {
		if text, next, bad := s.outside(m); bad {
			v.refuse(list, name, s.field, text, next)
		}
	}
}
