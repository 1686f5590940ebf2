// Package mtprompt names what a run of the project's own interface may have in common with others.
package mtprompt

import (
	"encoding/hex"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/request/mtcomponent"
)

// markSize is the length of a mark of a prefix chain in bytes.
const markSize = 16

// depths are the marks that are taken of any chain, so that prompts that begin alike have the same
// ones however long they are.
var depths = []int{0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192}

// Components returns the beginnings of a run's prompt, by the marks of its chain, and the whole
// request.
func Components(work *mustardtidev1.Work) []mtcomponent.Component {
	components := make([]mtcomponent.Component, 0, len(depths)+1)
	for _, depth := range depths {
		if end := (depth + 1) * markSize; end <= len(work.GetChain()) {
			components = append(components, mtcomponent.Part(hex.EncodeToString(work.GetChain()[end-markSize:end])))
		}
	}
	return append(components, mtcomponent.Whole(work.GetPrint()))
}
