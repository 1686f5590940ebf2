package mtkind

// Events of membership, leases, permits and orders.
const (
	MemberSeen    Kind = 4001
	MemberLeaving Kind = 4002
	MemberGone    Kind = 4003
	LeaseTaken    Kind = 4010
	LeaseGone     Kind = 4011
	PermitTaken   Kind = 4020
	PermitGiven   Kind = 4021
	OrderSent     Kind = 4030
	OrderRefused  Kind = 4031
	OrderDone     Kind = 4032
)

var memberRows = map[Kind]row{
	MemberSeen:    {"member-seen", "an instance is live"},
	MemberLeaving: {"member-leaving", "an instance is leaving"},
	MemberGone:    {"member-gone", "an instance is gone"},
	LeaseTaken:    {"lease-taken", "this process holds a lease"},
	LeaseGone:     {"lease-gone", "a lease lapsed or passed to another"},
	PermitTaken:   {"permit-taken", "this process may load weights"},
	PermitGiven:   {"permit-given", "a load permit was given back"},
	OrderSent:     {"order-sent", "an order went to the target"},
	OrderRefused:  {"order-refused", "an order was fenced off"},
	OrderDone:     {"order-done", "the target has carried out an order"},
}
