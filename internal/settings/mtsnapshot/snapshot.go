// Package mtsnapshot is the settings in force, ready for look-ups by requests.
package mtsnapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// anyName is a rule's word for every account or service.
const anyName = "*"

// Snapshot is one revision's settings of one data centre. It is immutable:
// requests read it without a lock while the next one is built.
type Snapshot struct {
	revision uint64
	base     *mustardtidev1.Base
	keys     map[string]*mustardtidev1.Account
	services map[string]*mustardtidev1.Service
	models   map[string]*mustardtidev1.Service
	rules    map[ruleKey]int
}

// ruleKey is the pair of patterns that a rule applies to.
type ruleKey struct {
	account string
	service string
}

// New compiles merged settings.
func New(revision uint64, merged *mustardtidev1.Base) *Snapshot {
	s := &Snapshot{
		revision: revision,
		base:     merged,
		keys:     map[string]*mustardtidev1.Account{},
		services: map[string]*mustardtidev1.Service{},
		models:   map[string]*mustardtidev1.Service{},
		rules:    map[ruleKey]int{},
	}
	for _, account := range merged.GetAccounts() {
		for _, hash := range account.GetHashes() {
			s.keys[hash] = account
		}
	}
	for _, service := range merged.GetServices() {
		s.services[service.GetName()] = service
		if model := service.GetModel(); model != "" {
			_, ambiguous := s.models[model]
			s.models[model] = service
			if ambiguous {
				s.models[model] = nil
			}
		}
	}
	for i, rule := range merged.GetRules() {
		key := ruleKey{account: pattern(rule.GetAccount()), service: pattern(rule.GetService())}
		if _, known := s.rules[key]; !known {
			s.rules[key] = i
		}
	}
	return s
}

// Revision is the manifest revision that these settings come from.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Base is the merged settings; the caller must not change them.
func (s *Snapshot) Base() *mustardtidev1.Base { return s.base }

// Account returns the client account of a bearer key, or nil.
func (s *Snapshot) Account(key string) *mustardtidev1.Account {
	sum := sha256.Sum256([]byte(key))
	return s.keys[hex.EncodeToString(sum[:])]
}

// Service returns the service of a name, or nil.
func (s *Snapshot) Service(name string) *mustardtidev1.Service { return s.services[name] }

// Model returns the service that runs a model, or nil. A service's own name
// is taken as well: where two services run the same model, only their names
// address them, since the model's would send a request to either.
func (s *Snapshot) Model(model string) *mustardtidev1.Service {
	if service := s.services[model]; service != nil && service.GetKind() == "model" {
		return service
	}
	return s.models[model]
}

// Rule returns the first rule that fits, or an empty one. Its cost does not
// grow with the number of rules: four look-ups find every rule that can fit.
func (s *Snapshot) Rule(account, service string) *mustardtidev1.Rule {
	rules := s.base.GetRules()
	first := len(rules)
	for _, key := range [...]ruleKey{{account, service}, {account, anyName}, {anyName, service}, {anyName, anyName}} {
		if i, ok := s.rules[key]; ok {
			first = min(first, i)
		}
	}
	if first == len(rules) {
		return &mustardtidev1.Rule{}
	}
	return rules[first]
}

// Deadline is the time that a request of this account and service has if its
// caller names none.
func (s *Snapshot) Deadline(account string, service *mustardtidev1.Service) time.Duration {
	if deadline := s.Rule(account, service.GetName()).GetDeadline(); deadline != nil {
		return deadline.AsDuration()
	}
	return service.GetDeadline().AsDuration()
}

// pattern reads a rule's account or service; one that is left out means any.
func pattern(name string) string {
	if name == "" {
		return anyName
	}
	return name
}
