package mtmetric_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
)

// A collector reads buckets that count all below them, a count and a sum.
func TestHistogram(t *testing.T) {
	g := NewWithT(t)
	set := mtmetric.New()
	h := set.Histogram(`first_byte_seconds{route="a"}`)
	for _, d := range []time.Duration{time.Millisecond, 90 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	set.Gauge("live", func() int64 { return 7 })
	w := httptest.NewRecorder()
	set.ServeHTTP(w, nil)
	text := w.Body.String()
	g.Expect(text).To(ContainSubstring(`mustardtide_first_byte_seconds_bucket{route="a",le="0.005"} 1`))
	g.Expect(text).To(ContainSubstring(`mustardtide_first_byte_seconds_bucket{route="a",le="0.1"} 2`))
	g.Expect(text).To(ContainSubstring(`mustardtide_first_byte_seconds_bucket{route="a",le="+Inf"} 3`))
	g.Expect(text).To(ContainSubstring(`mustardtide_first_byte_seconds_count{route="a"} 3`))
	g.Expect(text).To(ContainSubstring("mustardtide_live 7"))
}
