package mtplatform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/outside/mtplatform"
)

// Failure: another writer leaves one slice that can't be read, and no instance of the others is known, or
// the watch ends at it again and again.
func TestOddSliceAmongTheInstances(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	sound := func(name string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"resourceVersion":"7"},"endpoints":[{"addresses":["10.0.0.1"],"targetRef":{"name":%q}}],"ports":[{"port":80}]}`, name, name)
	}
	for name, odd := range map[string]string{
		"deep":             deep,
		"a deep field":     `{"metadata":{"name":"odd"},"x":` + deep + `}`,
		"a large port":     `{"metadata":{"name":"odd"},"ports":[{"port":1e999}]}`,
		"another type":     `{"metadata":{"name":7}}`,
		"a number":         `7`,
		"endpoints absent": `{"metadata":{"name":"odd"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Get("watch") == "" {
					fmt.Fprintf(w, `{"metadata":{"resourceVersion":"7"},"items":[%s,%s,%s]}`, sound("a"), odd, sound("b"))
					return
				}
				for _, object := range []string{sound("a"), odd, sound("b")} {
					fmt.Fprintf(w, `{"type":"MODIFIED","object":%s}`+"\n", object)
				}
			}))
			defer server.Close()
			client := mtplatform.New(server.URL, "default", http.DefaultTransport)
			members, version, err := client.Instances(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(version).To(Equal("7"))
			g.Expect(members).To(HaveLen(2))
			seen := map[string]int{}
			err = client.WatchInstances(context.Background(), "7", func(name, _ string, members []*mustardtidev1.Member) {
				seen[name] += len(members)
			})
			g.Expect(err).To(MatchError(ContainSubstring("the watch ended")))
			g.Expect(seen).To(And(HaveKeyWithValue("a", 1), HaveKeyWithValue("b", 1)))
		})
	}
}
