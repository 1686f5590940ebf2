package mtcaller_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/outside/mtcaller"
)

// Guards against memory that is taken for a body that was announced and does not come.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	g := NewWithT(t)
	const announced = 64 << 20
	request := httptest.NewRequest(http.MethodPost, "/v1/completions", iotest.ErrReader(errors.New("gone")))
	request.ContentLength = announced
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := mtcaller.Read(httptest.NewRecorder(), request, announced)
	runtime.ReadMemStats(&after)
	g.Expect(err).To(HaveOccurred())
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
}
