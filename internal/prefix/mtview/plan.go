package mtview

import "github.com/mustardtide/mustardtide/internal/prefix/mtchain"

// Plan notes that a request with this chain was taken: its target will have
// cached it before a later request is computed. Without it a burst on a cold
// prompt, whose cache events are still to come, is scattered over the targets.
// A plan is of one incarnation; what it returns must be called at the
// request's end.
func (v *View) Plan(chain mtchain.Chain) (done func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	incarnation := v.incarnation
	for i := range chain.Len() {
		v.planned[chain.At(i)]++
	}
	return func() { v.settle(incarnation, chain) }
}

// settle takes a plan back; one of an earlier incarnation is gone already.
func (v *View) settle(incarnation string, chain mtchain.Chain) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if incarnation != v.incarnation {
		return
	}
	for i := range chain.Len() {
		mark := chain.At(i)
		if v.planned[mark]--; v.planned[mark] <= 0 {
			delete(v.planned, mark)
		}
	}
}

// Promise counts the leading marks of a chain that the target has cached or
// will have when the requests before are computed.
func (v *View) Promise(chain mtchain.Chain) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for i := range chain.Len() {
		mark := chain.At(i)
		if _, held := v.marks[mark]; !held && v.planned[mark] == 0 {
			return i
		}
	}
	return chain.Len()
}
