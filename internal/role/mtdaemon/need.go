package mtdaemon

import (
	"strings"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// need is a key that a role's settings file must have: without it the daemon
// would come up on a random port, or stand beside nothing.
type need struct {
	key   string
	value func(*mustardtidev1.Process) string
}

var (
	commonNeeds = []need{
		{"name", (*mustardtidev1.Process).GetName},
		{"datacentre", (*mustardtidev1.Process).GetDatacentre},
		{"internal", (*mustardtidev1.Process).GetInternal},
		{"platform", (*mustardtidev1.Process).GetPlatform},
		{"namespace", (*mustardtidev1.Process).GetNamespace},
	}
	entryNeeds   = append([]need{{"public", (*mustardtidev1.Process).GetPublic}}, commonNeeds...)
	sidecarNeeds = append([]need{
		{"target", (*mustardtidev1.Process).GetTarget},
		{"service", (*mustardtidev1.Process).GetService},
	}, commonNeeds...)
)

// complete refuses a settings file that lacks a key, and names all that it lacks.
func complete(path string, process *mustardtidev1.Process, needs []need) error {
	var missing []string
	for _, n := range needs {
		if n.value(process) == "" {
			missing = append(missing, n.key)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return trace.BadParameter("%s: add %s; docs/SETTINGS.md explains them under Process", path, strings.Join(missing, ", "))
}
