package mtstamp_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/observe/mtstamp"
)

// An instance's wall clock runs an hour ahead. It sends a message, and the
// receiver's next event must not stand before the sending in the timeline.
func TestStampFollowsItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var ahead, behind mtstamp.Clock
		ahead.See(uint64(time.Now().Add(time.Hour).UnixMilli()) << 16)
		sent := ahead.Now()
		behind.See(sent)
		received := behind.Now()
		g.Expect(received).To(BeNumerically(">", sent))
		time.Sleep(2 * time.Hour)
		g.Expect(behind.Now()>>16).To(BeEquivalentTo(time.Now().UnixMilli()), "the wall clock leads again")
	})
}
