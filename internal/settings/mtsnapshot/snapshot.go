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
}

// New compiles merged settings.
func New(revision uint64, merged *mustardtidev1.Base) *Snapshot {
	s := &Snapshot{
		revision: revision,
		base:     merged,
		keys:     map[string]*mustardtidev1.Account{},
		services: map[string]*mustardtidev1.Service{},
		models:   map[string]*mustardtidev1.Service{},
	}
	for _, account := range merged.GetAccounts() {
		for _, hash := range account.GetHashes() {
			s.keys[hash] = account
		}
	}
	for _, service := range merged.GetServices() {
		s.services[service.GetName()] = service
		if service.GetModel() != "" {
			s.models[service.GetModel()] = service
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
// is taken as well, so that two services may run the same model.
func (s *Snapshot) Model(model string) *mustardtidev1.Service {
	if service := s.services[model]; service != nil && service.GetKind() == "model" {
		return service
	}
	return s.models[model]
}

// Rule returns the first rule that fits, or an empty one.
func (s *Snapshot) Rule(account, service string) *mustardtidev1.Rule {
	for _, rule := range s.base.GetRules() {
		if fits(rule.GetAccount(), account) && fits(rule.GetService(), service) {
			return rule
		}
	}
	return &mustardtidev1.Rule{}
}

// Deadline is the time that a request of this account and service has if its
// caller names none.
func (s *Snapshot) Deadline(account string, service *mustardtidev1.Service) time.Duration {
	if deadline := s.Rule(account, service.GetName()).GetDeadline(); deadline != nil {
		return deadline.AsDuration()
	}
	return service.GetDeadline().AsDuration()
}

func fits(pattern, name string) bool {
	return pattern == anyName || pattern == "" || pattern == name
}
