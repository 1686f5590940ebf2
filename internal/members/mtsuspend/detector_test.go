package mtsuspend_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/members/mtsuspend"
)

// Failure: time that passes while the process runs looks like a suspension, and leases are
// given up.
func TestTimeThatPassesIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		detector := mtsuspend.New()
		for range 10 {
			time.Sleep(time.Minute)
			g.Expect(detector.Suspended()).To(BeFalse())
		}
	})
}
