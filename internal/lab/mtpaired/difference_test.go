package mtpaired_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/lab/mtpaired"
)

func ExampleOf() {
	for _, differences := range [][]float64{{0.5}, {0.02, 0.03, 0.01, 0.02}, {-0.02, -0.03, -0.01}, {-0.02, 0.03, 0.01}, nil} {
		d := mtpaired.Of(differences)
		fmt.Printf("%d pairs %+.3f %s\n", d.Pairs(), d.Mean(), d.Verdict())
	}
	// Output:
	// 1 pairs +0.500 can't tell
	// 4 pairs +0.020 better
	// 3 pairs -0.020 worse
	// 3 pairs +0.007 can't tell
	// 0 pairs +0.000 can't tell
}

func TestIntervalHoldsTheMean(t *testing.T) {
	g := NewWithT(t)
	d := mtpaired.Of([]float64{0.1, 0.2, 0.3, 0.2, 0.1, 0.4})
	g.Expect(d.Low()).To(BeNumerically("<", d.Mean()))
	g.Expect(d.High()).To(BeNumerically(">", d.Mean()))
	g.Expect(d.Low()).To(BeNumerically(">=", 0.1))
	g.Expect(d.High()).To(BeNumerically("<=", 0.4))
}
