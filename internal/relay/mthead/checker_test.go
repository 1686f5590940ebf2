package mthead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/relay/mthead"
)

// Guards against a check that splits heads into lines otherwise than the parser does: its verdict would
// be on other fields than those that are used, and would depend on how the bytes come.
func TestCheckAgreesWithTheParser(t *testing.T) {
	pieces := []string{
		"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 000 Odd", "HTTP/1.1 101 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 404", "HTTP/2.0 200 OK",
		"\r\n", "\n", "\r", " ", "\t", "A: b", "A : b", "A b: c", "Content-Length: 3", "Transfer-Encoding: chunked", ":", "body",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := "HTTP/1.1 200 OK\r\n" + strings.Join(rapid.SliceOf(rapid.SampledFrom(pieces)).Draw(t, "pieces"), "") + "\r\n\r\n"
		text = text[rapid.SampledFrom([]int{0, len("HTTP/1.1 200 OK\r\n")}).Draw(t, "start"):]
		whole, split := mthead.Checker{}, mthead.Checker{}
		err := whole.Take([]byte(text))
		at := rapid.IntRange(0, len(text)).Draw(t, "at")
		first := split.Take([]byte(text[:at]))
		if first == nil {
			first = split.Take([]byte(text[at:]))
		}
		if (err == nil) != (first == nil) {
			t.Fatalf("%q: %v, in two pieces %v", text, err, first)
		}
		response, parsed := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if parsed != nil {
			return
		}
		response.Body.Close()
		sound := response.ProtoMajor == 1 && response.StatusCode >= http.StatusOK && response.StatusCode < 600
		for name := range response.Header {
			sound = sound && httpguts.ValidHeaderFieldName(name)
		}
		if err == nil && !sound {
			t.Fatalf("%q is accepted", text)
		}
		if err != nil && sound && response.ProtoMinor > 0 {
			t.Fatalf("%q is refused: %v", text, err)
		}
	})
}
