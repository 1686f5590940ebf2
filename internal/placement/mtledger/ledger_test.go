package mtledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/placement/mtledger"
)

const allowed = 8 * time.Second

func named(ages ...time.Duration) []*fleetv1.Weights {
	weights := &fleetv1.Weights{Model: "m", Version: int64(len(ages))}
	for i, age := range ages {
		weights.Ages = append(weights.Ages, &fleetv1.Age{Version: int64(i + 1), Age: durationpb.New(age)})
	}
	return []*fleetv1.Weights{weights}
}

// Failure: an age is written at every look, or goes on to be written for ever.
func TestAgeIsWrittenInSteps(t *testing.T) {
	g := NewWithT(t)
	ledger := mtledger.New(allowed)
	writes := 0
	for age := time.Duration(0); age < time.Minute; age += 100 * time.Millisecond {
		if now := named(age); ledger.Due(now) {
			writes++
			ledger.Stored(&fleetv1.Namings{Weights: now}, int64(writes))
		}
	}
	g.Expect(writes).To(Equal(4))
	g.Expect(ledger.Revision()).To(Equal(int64(4)))
}

// Failure: weights that are named right after others leave the age of the others unwritten.
func TestEachVersionIsWritten(t *testing.T) {
	g := NewWithT(t)
	ledger := mtledger.New(allowed)
	ledger.Stored(&fleetv1.Namings{Weights: named(allowed)}, 1)
	g.Expect(ledger.Due(named(time.Minute, time.Second))).To(BeFalse())
	g.Expect(ledger.Due(named(time.Minute, 3*time.Second))).To(BeTrue())
}

// Failure: without a time allowed every look would be a write.
func TestNothingIsWrittenWithoutABound(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mtledger.New(0).Due(named(time.Minute))).To(BeFalse())
}
