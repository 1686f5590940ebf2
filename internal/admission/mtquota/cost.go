package mtquota

import fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"

// Cost is what a request counts against its account's quota.
func Cost(of *fleetv1.Account, ask *fleetv1.Ask) int64 {
	const most = 1 << 40
	if of.GetUnit() == fleetv1.Unit_UNIT_REQUEST {
		return 1
	}
	if !ask.GetDeclared() {
		return of.GetPlain()
	}
	cost := min(ask.GetPrompt(), most) + min(ask.GetOutput(), most)
	if !ask.GetGarbled() {
		return cost
	}
	var parts int64
	for _, part := range ask.GetParts() {
		parts += min(max(0, part.GetTokens()), most)
	}
	return max(cost, parts, of.GetPlain())
}
