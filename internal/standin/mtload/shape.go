package mtload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

// shape is how prompts nest: one rule book an account, some dossiers behind it,
// a question of its own behind each.
type shape struct {
	rules    int
	dossiers int
	dossier  int
	question int
}

// defaultShape is a trip fleet's: sizes in bytes, four to a token.
func defaultShape() shape {
	return shape{rules: 16 << 10, dossiers: 20, dossier: 16 << 10, question: 256}
}

// prompt draws a dossier, few of them very hot, and a new question.
func (s shape) prompt(random *rand.Rand, account string) string {
	number := int(float64(s.dossiers) * math.Pow(random.Float64(), 3))
	var b strings.Builder
	fill(&b, "rules of "+account, s.rules)
	fill(&b, fmt.Sprintf("dossier %d of %s", number, account), s.dossier)
	fill(&b, fmt.Sprintf("question %d", random.Uint64()), s.question)
	return b.String()
}

func fill(b *strings.Builder, text string, size int) {
	b.WriteString(strings.Repeat(text+". ", size/(len(text)+2)))
}
