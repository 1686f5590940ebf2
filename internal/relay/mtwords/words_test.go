package mtwords_test

import (
	"testing"

	. "github.com/onsi/gomega"

	fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"
	"github.com/mustardtide/mustardtide/internal/observe/mtmetric"
	"github.com/mustardtide/mustardtide/internal/relay/mtwords"
	"github.com/mustardtide/mustardtide/internal/standin/mtpost"
)

// A fleet's bytes grow, and the operator asks which of the processes' words they are.
func TestWordsAreCountedByKind(t *testing.T) {
	g := NewWithT(t)
	metrics := mtmetric.New()
	words := mtwords.New(mtpost.New().Open("here"), metrics)
	words.Send("there", &fleetv1.Call{Call: &fleetv1.Call_Hello{Hello: &fleetv1.Hello{Target: "t", Ask: 1}}})
	words.Send("there", &fleetv1.Call{Call: &fleetv1.Call_Hello{Hello: &fleetv1.Hello{Target: "t", Turn: &fleetv1.Turn{}}}})
	words.Send("there", &fleetv1.Call{Call: &fleetv1.Call_Seek{Seek: &fleetv1.Seek{Part: "p"}}})
	for range 2 {
		words.Send("there", &fleetv1.Word{Word: &fleetv1.Word_Digest{Digest: &fleetv1.Digest{Entry: "e"}}})
	}
	g.Expect(metrics.Value(`words_total{kind="ask"}`)).To(Equal(int64(1)))
	g.Expect(metrics.Value(`words_total{kind="hello"}`)).To(Equal(int64(1)))
	g.Expect(metrics.Value(`words_total{kind="seek"}`)).To(Equal(int64(1)))
	g.Expect(metrics.Value(`words_total{kind="digest"}`)).To(Equal(int64(2)))
	g.Expect(metrics.Value(`words_bytes_total{kind="digest"}`)).To(BeNumerically(">", 4))
}
