// Package mthead checks the heads of HTTP/1 responses as they are received (RFC 9112, 4 and 5). The
// parser of net/http leaves status codes to its callers and tolerates some heads that are no
// response.
package mthead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// codeSize is the number of digits of a status code; codes from invalidCode on are of no class
// (RFC 9110, 15).
const (
	codeSize    = 3
	invalidCode = 600
)

// ErrInvalid is the error of bytes that are no response.
var ErrInvalid = errors.New("what was received is no response")

// Checker checks the heads of one response, those of interim responses included. The zero value is
// ready for use.
type Checker struct {
	// line is the part of a line that has been received.
	line []byte
	// begun reports whether the status line has been received, interim whether it is that of an
	// interim response, and ended whether the heads are over.
	begun, interim, ended bool
	// minor is the minor version of the protocol.
	minor int
}

// Take checks the next bytes; those behind the heads are not looked at. Its error is ErrInvalid, and
// says what is wrong.
func (c *Checker) Take(p []byte) error {
	for !c.ended && len(p) > 0 {
		part, rest, whole := bytes.Cut(p, []byte{'\n'})
		p = rest
		if !whole {
			c.line = append(c.line, part...)
			break
		}
		line := part
		if len(c.line) > 0 {
			c.line = append(c.line, part...)
			line, c.line = c.line, nil
		}
		if err := c.takeLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *Checker) takeLine(line []byte) error {
	switch {
	case !c.begun:
		c.begun = true
		return c.takeStatus(line)
	case len(line) == 0:
		c.begun, c.ended = false, !c.interim
		return nil
	case line[0] == ' ' || line[0] == '\t':
		// The line continues the field before (RFC 9112, 5.2).
		return nil
	default:
		name, _, _ := bytes.Cut(line, []byte{':'})
		return c.takeName(string(name))
	}
}

// takeName checks the name of a field. HTTP/1.0 has no transfer codings: what frames the body of such
// a response is not known (RFC 9112, 6.1).
func (c *Checker) takeName(name string) error {
	if c.minor == 0 && strings.EqualFold(name, "Transfer-Encoding") {
		return invalid("HTTP/1.0 with a transfer coding")
	}
	return checkName(name)
}

// takeStatus checks a status line. 101 answers an upgrade, for which no request asks. A code of no
// class has no meaning that a caller could rely on: it counts as a failed response, as 502 says.
func (c *Checker) takeStatus(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if !ok || major != 1 {
		return invalid("protocol %q", clip(version))
	}
	c.minor = minor
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	code, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != codeSize || code < http.StatusContinue || code >= invalidCode || code == http.StatusSwitchingProtocols {
		return invalid("status code %q", clip(text))
	}
	c.interim = code < http.StatusOK
	return nil
}

// CheckTrailer checks the fields behind a body, as they were parsed. Its error is ErrInvalid.
func CheckTrailer(fields http.Header) error {
	for name := range fields {
		if err := checkName(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// checkName checks the name of a field. A blank or a control byte leaves open which field is meant,
// one that tells where the body ends among them, so that no part of the response can be relied on.
func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return invalid("a field named %q", clip([]byte(name)))
	}
	return nil
}

// maxQuoted bounds what an error quotes of a response.
const maxQuoted = 64

func invalid(format string, text ...any) error {
	return trace.Wrap(fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, text...)...))
}

func clip(text []byte) []byte { return text[:min(len(text), maxQuoted)] }
