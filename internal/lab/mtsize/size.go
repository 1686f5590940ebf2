// Package mtsize is the size of a fleet in the laboratory, from a data file.
package mtsize

import (
	"bytes"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Size is one fleet's.
type Size struct {
	name string
	file file
}

type file struct {
	Datacentres []string      `yaml:"datacentres"`
	Engines     int           `yaml:"engines"`
	Entries     int           `yaml:"entries"`
	Slots       int           `yaml:"slots"`
	Memory      int           `yaml:"memory"`
	Prefill     float64       `yaml:"prefill"`
	Decode      time.Duration `yaml:"decode"`
	Between     time.Duration `yaml:"between"`
	Within      time.Duration `yaml:"within"`
	Caller      time.Duration `yaml:"caller"`
}

// Parse reads a size; keys that it does not know are refused.
func Parse(name string, data []byte) (*Size, error) {
	s := &Size{name: name}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s.file); err != nil {
		return nil, trace.BadParameter("size %s: %v", name, err)
	}
	return s, nil
}

// Name is the fleet's name.
func (s *Size) Name() string { return s.name }

// Datacentre is the i-th, over again after the last.
func (s *Size) Datacentre(i int) string { return s.file.Datacentres[i%len(s.file.Datacentres)] }

// Datacentres is their number.
func (s *Size) Datacentres() int { return len(s.file.Datacentres) }

// Engines and Entries are their numbers.
func (s *Size) Engines() int { return s.file.Engines }

// Entries is the number of entries.
func (s *Size) Entries() int { return s.file.Entries }

// Slots is an engine's batch.
func (s *Size) Slots() int { return s.file.Slots }

// Memory is an engine's cache in tokens.
func (s *Size) Memory() int { return s.file.Memory }

// Prefill is an engine's rate in tokens a second.
func (s *Size) Prefill() float64 { return s.file.Prefill }

// Decode is the time between an engine's tokens.
func (s *Size) Decode() time.Duration { return s.file.Decode }

// Trip is the time one way between two data centres, or within one.
func (s *Size) Trip(from, to int) time.Duration {
	if from%s.Datacentres() == to%s.Datacentres() {
		return s.file.Within
	}
	return s.file.Between
}

// Caller is the time one way between callers and entries.
func (s *Size) Caller() time.Duration { return s.file.Caller }
