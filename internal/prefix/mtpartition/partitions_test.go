package mtpartition_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mustardtide/mustardtide/internal/prefix/mtpartition"
)

func ExamplePartitions_Of() {
	p := mtpartition.New([]string{"school"})
	fmt.Println(p.Of("school") == mtpartition.Own("school"))
	fmt.Println(p.Of("town") == p.Shared(), p.Of("village") == p.Shared())
	fmt.Println(mtpartition.Salt("large", 3, mtpartition.New(nil).Of("town")))
	// Output:
	// true
	// true true
	// large@3
}

// names are texts that contain the characters of salts, and salts themselves.
func names() *rapid.Generator[string] {
	pieces := []string{"", "@", "#", "#a", "#s", "1", "12", "m", "a", "b", "ab", "\x00", mtpartition.Own("a"), mtpartition.New([]string{"a"}).Shared()}
	return rapid.Map(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 3), func(list []string) string { return strings.Join(list, "") })
}

// key is what a salt stands for.
func key(model string, version int64, isolated []string, account string) string {
	slices.Sort(isolated)
	isolated = slices.Compact(isolated)
	if slices.Contains(isolated, account) {
		return fmt.Sprintf("%q %d own %q", model, version, account)
	}
	return fmt.Sprintf("%q %d shared %q", model, version, isolated)
}

// Guards against salts that meet: of two models, versions, isolated accounts, or sets of isolated
// accounts, whatever their names.
func TestSaltsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (string, string) {
			model, version := names().Draw(t, label+" model"), rapid.Int64Range(0, 20).Draw(t, label+" version")
			isolated := rapid.SliceOfN(names(), 0, 3).Draw(t, label+" isolated")
			account := rapid.OneOf(names(), rapid.SampledFrom(append([]string{"town"}, isolated...))).Draw(t, label+" account")
			salt := mtpartition.Salt(model, version, mtpartition.New(isolated).Of(account))
			return key(model, version, isolated, account), salt
		}
		oneKey, one := draw("one")
		otherKey, other := draw("other")
		if (oneKey == otherKey) != (one == other) {
			t.Fatalf("%s has the salt %q, %s has %q", oneKey, one, otherKey, other)
		}
	})
}

// request is one account's request under one set of isolated accounts, and the salt of its parts.
type request struct {
	account  string
	isolated []string
	salt     string
}

// Guards against parts that an account cached before it became isolated, or caches after, and that
// another finds: under each sequence of configurations, those who meet under a salt are one account,
// or neither is isolated when the later one comes.
func TestIsolatedAccountsMeetNobody(t *testing.T) {
	accounts := []string{"a", "b", "c", ""}
	rapid.Check(t, func(t *rapid.T) {
		var made []request
		for step := range rapid.IntRange(1, 8).Draw(t, "configurations") {
			isolated := rapid.SliceOfNDistinct(rapid.SampledFrom(accounts), 0, len(accounts), rapid.ID).Draw(t, fmt.Sprint("isolated ", step))
			partitions := mtpartition.New(isolated)
			for _, account := range accounts {
				now := request{account, isolated, mtpartition.Salt("m", 1, partitions.Of(account))}
				for _, before := range made {
					if before.salt != now.salt || before.account == now.account {
						continue
					}
					if slices.Contains(isolated, before.account) || slices.Contains(isolated, now.account) {
						t.Fatalf("%+v uses what %+v made", now, before)
					}
				}
				made = append(made, now)
			}
		}
	})
}

// Guards against a shared partition that changes with the order of a configuration's accounts.
func TestOrderMakesNoDifference(t *testing.T) {
	g := NewWithT(t)
	g.Expect(mtpartition.New([]string{"a", "b"}).Shared()).To(Equal(mtpartition.New([]string{"b", "a", "b"}).Shared()))
	g.Expect(mtpartition.New(nil).Shared()).To(BeEmpty())
	g.Expect(mtpartition.New([]string{""}).Shared()).NotTo(BeEmpty())
}
