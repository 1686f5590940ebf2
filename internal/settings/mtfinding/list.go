// Package mtfinding collects what is wrong with settings files, each finding
// with its file, line, path and a next step.
package mtfinding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxFindings bounds what is printed: a file that is wrong throughout has one
// cause, and a screen holds about fifty lines.
const maxFindings = 50

// finding is one fault of a file.
type finding struct {
	file string
	line int
	path string
	text string
	next string
}

// List holds findings in the order of file and line. The zero value is empty
// and ready for use.
type List struct {
	found []finding
	seen  map[finding]bool
}

// Add adds a finding once: the merged settings of several data centres give
// the same one again. text says what is wrong, next what to do about it.
func (l *List) Add(file string, line int, path, text, next string) {
	f := finding{file: file, line: line, path: path, text: text, next: next}
	if l.seen[f] {
		return
	}
	if l.seen == nil {
		l.seen = map[finding]bool{}
	}
	l.seen[f] = true
	l.found = append(l.found, f)
}

// Len counts the findings.
func (l *List) Len() int { return len(l.found) }

// Lines renders each finding as "file:line: path: text; next".
func (l *List) Lines() []string {
	sorted := slices.Clone(l.found)
	slices.SortStableFunc(sorted, func(a, b finding) int {
		return cmp.Or(strings.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})
	lines := make([]string, 0, min(len(sorted), maxFindings)+1)
	for i, f := range sorted {
		if i == maxFindings {
			lines = append(lines, fmt.Sprintf("and %d more", len(sorted)-maxFindings))
			break
		}
		lines = append(lines, f.String())
	}
	return lines
}

// Err returns nil where there is no finding, else an error with all of them.
func (l *List) Err() error {
	if len(l.found) == 0 {
		return nil
	}
	return &invalid{lines: l.Lines()}
}

// String renders one finding.
func (f finding) String() string {
	at := fmt.Sprintf("%s:%d", f.file, f.line)
	if f.path != "" {
		at += ": " + f.path
	}
	return fmt.Sprintf("%s: %s; %s", at, f.text, f.next)
}

// invalid is the error of a list with findings.
type invalid struct {
	lines []string
}

func (e *invalid) Error() string { return strings.Join(e.lines, "\n") }
