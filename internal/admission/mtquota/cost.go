package mtquota

import fleetv1 "github.com/mustardtide/mustardtide/gen/mustardtide/fleet/v1"

// Cost returns what a request counts against its account's quota.
func Cost(client *fleetv1.Account, ask *fleetv1.Ask) int64 {
	const maxTokens = 1 << 40
	if client.GetUnit() == fleetv1.Unit_UNIT_REQUEST {
		return 1
	}
	if !ask.GetDeclared() {
		return client.GetPlain()
	}
	cost := min(ask.GetPrompt(), maxTokens) + min(ask.GetOutput(), maxTokens)
	if !ask.GetGarbled() {
		return cost
	}
	var parts int64
	for _, part := range ask.GetParts() {
		parts += min(max(0, part.GetTokens()), maxTokens)
	}
	return max(cost, parts, client.GetPlain())
}
