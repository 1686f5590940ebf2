// Package mtversion is the version of this program.
package mtversion

import (
	_ "embed"
	"strings"
)

//go:embed VERSION
var file string

// Version is what the one version file says.
func Version() string { return strings.TrimSpace(file) }
