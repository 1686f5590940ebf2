package mtevidence

import (
	"time"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// calm is the time between two looks at the facts when none is to lapse.
const calm = time.Hour

// view is what requests read; it is immutable.
type view struct {
	usable  map[string][]*mustardtidev1.Member
	leaving map[string]bool
	lapse   time.Duration
}

func newView(members []*mustardtidev1.Member, facts map[string]fact, now time.Time) *view {
	v := &view{
		usable:  map[string][]*mustardtidev1.Member{},
		leaving: map[string]bool{},
		lapse:   calm,
	}
	for name, f := range facts {
		if f.leaving && now.Before(f.until) {
			v.leaving[name] = true
		}
	}
	shunned := map[string][]*mustardtidev1.Member{}
	for _, m := range members {
		if m.GetLeaving() || m.GetService() == "" {
			continue
		}
		f := facts[m.GetName()]
		if left := f.until.Sub(now); left > 0 && f.address == m.GetAddress() {
			v.lapse = min(v.lapse, left)
			shunned[m.GetService()] = append(shunned[m.GetService()], m)
			continue
		}
		v.usable[m.GetService()] = append(v.usable[m.GetService()], m)
	}
	for service, all := range shunned {
		if len(v.usable[service]) == 0 {
			v.usable[service] = all
		}
	}
	return v
}
