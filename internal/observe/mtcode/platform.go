package mtcode

import "net/http"

// Results of the platform and of orders to targets.
const (
	PlatformDown    Code = 601
	PlatformLimited Code = 602
	OrderFenced     Code = 603
	PermitBusy      Code = 604
	LeaseLost       Code = 605
)

var platformRows = map[Code]row{
	PlatformDown:    {"platform-down", http.StatusServiceUnavailable, "the object API can't be reached", "wait for it; requests are served meanwhile"},
	PlatformLimited: {"platform-limited", http.StatusTooManyRequests, "the object API's rate is used up", "nothing: the process tries again later"},
	OrderFenced:     {"order-fenced", http.StatusConflict, "a newer order has taken effect", "give the order again if it is still wanted"},
	PermitBusy:      {"permit-busy", http.StatusConflict, "as many targets as allowed load weights now", "wait for one to end"},
	LeaseLost:       {"lease-lost", http.StatusConflict, "the lease passed to another holder", "give the order again if it is still wanted"},
}
