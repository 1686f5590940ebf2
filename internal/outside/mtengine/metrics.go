package mtengine

import (
	"bufio"
	"context"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// startMetric is the published gauge that changes with every start.
const startMetric = "process_start_time_seconds"

// Incarnation asks the engine which start of its program answers.
func (e *Engine) Incarnation(ctx context.Context) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/metrics", http.NoBody)
	if err != nil {
		return "", trace.Wrap(err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return "", trace.ConnectionProblem(err, "the engine can't be reached")
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), startMetric+" "); ok {
			return value, nil
		}
	}
	return "", trace.NotFound("the engine's metrics lack %s", startMetric)
}
