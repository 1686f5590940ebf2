package mtentry

import (
	"context"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/internal/admission/mtrefusal"
)

// maxAttempts bounds the targets tried for one request.
const maxAttempts = 3

// tries is what has been tried for one request.
type tries struct {
	names map[string]bool
	count int
	// left are the chosen targets that were not tried yet.
	left []*mustardtidev1.Member
}

// next returns the best target that was not tried, or nil. Once the chosen ones
// are used up it chooses anew: what they answered has changed what is known, as
// when the one target that was not leaving now is. Where every target was
// tried, those whose connections were lost are tried again: one that went
// silent loses the request, not its target.
func (e *Entry) next(ctx context.Context, t *task, tried *tries, last *mtrefusal.Refusal) *mustardtidev1.Member {
	if tried.count >= maxAttempts {
		return nil
	}
	if member := tried.take(); member != nil {
		return member
	}
	tried.left = e.choose(ctx, t)
	all := tried.left
	if member := tried.take(); member != nil {
		return member
	}
	if len(all) == 0 || !broken(last.Code()) {
		return nil
	}
	tried.count++
	return all[0]
}

func (t *tries) take() *mustardtidev1.Member {
	for i, member := range t.left {
		if !t.names[member.GetName()] {
			t.names[member.GetName()] = true
			t.count++
			t.left = t.left[i+1:]
			return member
		}
	}
	t.left = nil
	return nil
}
