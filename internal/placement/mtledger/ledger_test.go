package mtledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtledger"
)

const gracePeriod = 8 * time.Second

func published(ages ...time.Duration) []*fleetv1.Weights {
	weights := &fleetv1.Weights{Model: "m", Version: int64(len(ages))}
	for i, age := range ages {
		weights.Ages = append(weights.Ages, &fleetv1.Age{Version: int64(i + 1), Age: durationpb.New(age)})
	}
	return []*fleetv1.Weights{weights}
}

// Guards against an age that is written at every check, or is still written after the grace
// period.
func TestAgeIsWrittenAtIntervals(t *testing.T) {
	g := NewWithT(t)
	ledger := mtledger.New(gracePeriod)
	writes := 0
	for age := time.Duration(0); age < time.Minute; age += 100 * time.Millisecond {
		if weights := published(age); ledger.WriteDue(weights) {
			writes++
			ledger.RecordStored(&fleetv1.Namings{Weights: weights}, int64(writes))
		}
	}
	g.Expect(writes).To(Equal(4))
	g.Expect(ledger.Revision()).To(Equal(int64(4)))
}

// Guards against an age that is never written because newer weights were published shortly
// after.
func TestAgeOfEachVersionIsWritten(t *testing.T) {
	g := NewWithT(t)
	ledger := mtledger.New(gracePeriod)
	ledger.RecordStored(&fleetv1.Namings{Weights: published(gracePeriod)}, 1)
	g.Expect(ledger.WriteDue(published(time.Minute, time.Second))).To(BeFalse())
	g.Expect(ledger.WriteDue(published(time.Minute, 3*time.Second))).To(BeTrue())
}

// Guards against a write at every check where no grace period is set.
func TestNothingIsWrittenWithoutAGracePeriod(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mtledger.New(0).WriteDue(published(time.Minute))).To(BeFalse())
}
