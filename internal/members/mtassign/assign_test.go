package mtassign_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mustardtide/mustardtide/internal/members/mtassign"
)

func ExampleAssignment_First() {
	members := []string{"a", "b", "c"}
	taken := 0
	for _, member := range members {
		taken += len(mtassign.New(member, members).First([]string{"x", "y", "z", "u"}, 2))
	}
	fmt.Println(taken)
	// Output: 8
}

// Failure: who ranks the members for a task, and each member that ranks itself, come to different
// leaders.
func TestLeadersAreThoseThatTakeTheTask(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{2, 4, 30, 356} {
		members := newFleet(size, 1).names
		for i := range 50 {
			task := fmt.Sprint("task-", i)
			var first []string
			for _, member := range members {
				if len(mtassign.New(member, members).First([]string{task}, copies)) > 0 {
					first = append(first, member)
				}
			}
			g.Expect(mtassign.Leading(task, members, copies)).To(ConsistOf(first))
		}
	}
}

const copies = 3

// fleet is members that see each other more or less.
type fleet struct {
	names []string
	gone  map[string]bool
	// blind is the share of the others that a member does not see, seesGone says that it
	// still sees those that have gone.
	blind    float64
	seesGone bool
	random   *rand.Rand
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{gone: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("10.1.%d.%d:7340", i/200, i%200))
	}
	return f
}

// lose lets a share of the members go.
func (f *fleet) lose(share float64) {
	for _, name := range f.names[1:] {
		f.gone[name] = f.random.Float64() < share
	}
}

func (f *fleet) sees(other string) bool {
	return (f.seesGone || !f.gone[other]) && f.random.Float64() >= f.blind
}

// assign lets the members that are left take tasks, at most so many each, and returns how
// often each task was taken, and the most that one member took.
func (f *fleet) assign(tasks []string, most int) (taken map[string]int, load int) {
	taken = map[string]int{}
	for _, name := range f.names {
		if f.gone[name] {
			continue
		}
		var others []string
		for _, other := range f.names {
			if f.sees(other) {
				others = append(others, other)
			}
		}
		mine := mtassign.New(name, others).First(tasks, copies)
		mine = mine[:min(len(mine), most)]
		load = max(load, len(mine))
		for _, task := range mine {
			taken[task]++
		}
	}
	return taken, load
}

func tasks(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("engine-%d", i)
	}
	return list
}

// sizes are those of fleets, with as many tasks as a data centre of theirs has engines.
var sizes = []struct{ members, tasks int }{{4, 20}, {30, 60}, {356, 300}}

// Failure: a task is nobody's, where members have gone, started or are cut off.
func TestEachTaskIsSomebodys(t *testing.T) {
	for _, size := range sizes {
		for name, change := range map[string]func(f *fleet){
			"steady":                   func(*fleet) {},
			"half have gone":           func(f *fleet) { f.lose(0.5) },
			"all but some have gone":   func(f *fleet) { f.lose(0.9) },
			"a third of others unseen": func(f *fleet) { f.blind = 0.33 },
			"started, others unseen":   func(f *fleet) { f.blind = 1 },
			"gone and a third unseen":  func(f *fleet) { f.lose(0.5); f.blind = 0.33 },
			"one has gone and is seen": func(f *fleet) { f.gone[f.names[1]] = true; f.seesGone = true },
			"a fifth have gone":        func(f *fleet) { f.lose(0.2) },
		} {
			t.Run(fmt.Sprint(size.members, " members, ", name), func(t *testing.T) {
				g := NewWithT(t)
				for seed := range uint64(10) {
					f := newFleet(size.members, seed)
					change(f)
					taken, _ := f.assign(tasks(size.tasks), size.tasks)
					g.Expect(taken).To(HaveLen(size.tasks))
				}
			})
		}
	}
}

// Failure: what one member takes grows with the fleet.
func TestMembersShareTheTasks(t *testing.T) {
	for _, size := range sizes {
		g := NewWithT(t)
		for seed := range uint64(10) {
			taken, load := newFleet(size.members, seed).assign(tasks(size.tasks), size.tasks)
			for _, count := range taken {
				g.Expect(count).To(Equal(min(copies, size.members)))
			}
			mean := float64(copies*size.tasks) / float64(size.members)
			g.Expect(float64(load)).To(BeNumerically("<=", 3*mean+8))
		}
	}
}

// Failure: members that have gone are still seen, and what was theirs is nobody's for good.
// With half of them gone an eighth of the tasks is, until they are no longer seen.
func TestTasksOfTheGoneAreTakenOver(t *testing.T) {
	for _, size := range sizes[1:] {
		g := NewWithT(t)
		f := newFleet(size.members, 1)
		f.lose(0.5)
		f.seesGone = true
		taken, _ := f.assign(tasks(size.tasks), size.tasks)
		g.Expect(len(taken)).To(BeNumerically(">", size.tasks*3/4))
		f.seesGone = false
		taken, _ = f.assign(tasks(size.tasks), size.tasks)
		g.Expect(taken).To(HaveLen(size.tasks))
	}
}

func BenchmarkFirst(b *testing.B) {
	f := newFleet(356, 1)
	list := tasks(300)
	b.ReportAllocs()
	for b.Loop() {
		mtassign.New(f.names[0], f.names).First(list, copies)
	}
}
