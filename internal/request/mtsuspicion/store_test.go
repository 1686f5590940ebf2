package mtsuspicion_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/request/mtsuspicion"
	"github.com/mustardtide/mustardtide/internal/standin/mtfleet"
)

// A batch dies twice with the same request in it, each time told by a sidecar
// whose write's answer is lost; between the two the rerun is claimed by one
// entry while another asks, is given up, and claimed by the other. Two crashes
// must count as two, one rerun run at a time, and the quarantine must outlive a
// late acquittal. Cause: the platform loses answers after the write took effect.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet, err := mtfleet.New()
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { g.Expect(fleet.Close()).To(Succeed()) }()
		store := mtsuspicion.New(fleet.Client())
		ctx := context.Background()
		digest := []byte("sixteen bytes ..")

		fleet.Platform().Faults().Lose(1)
		known, err := store.Crash(ctx, digest, "trip-0/1", false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetCrashes()).To(Equal([]string{"trip-0/1"}))
		g.Expect(known.GetBanned()).To(BeFalse(), "one crash, told twice")
		fleet.Platform().Faults().Lose(0)

		known, err = store.Try(ctx, digest, "run-1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetTrial()).To(Equal("run-1"))
		known, err = store.Try(ctx, digest, "run-2")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetTrial()).To(Equal("run-1"))
		g.Expect(store.Release(ctx, digest, "run-2")).To(Succeed(), "not its claim")
		known, err = store.Try(ctx, digest, "run-2")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetTrial()).To(Equal("run-1"))
		g.Expect(store.Release(ctx, digest, "run-1")).To(Succeed())
		known, err = store.Try(ctx, digest, "run-2")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetTrial()).To(Equal("run-2"))

		known, err = store.Crash(ctx, digest, "trip-1/1", true)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetBanned()).To(BeTrue())
		g.Expect(store.Clear(ctx, digest)).To(Succeed())
		known, err = store.Try(ctx, digest, "run-3")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetBanned()).To(BeTrue())
		g.Expect(known.GetTrial()).NotTo(Equal("run-3"))

		time.Sleep(61 * time.Minute)
		known, err = store.Try(ctx, digest, "run-4")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(known.GetBanned()).To(BeFalse(), "a quarantine lapses")
	})
}
