package mtkind

// Events of claims.
const (
	ClaimGranted  Kind = 5001
	ClaimRefused  Kind = 5002
	ClaimFenced   Kind = 5003
	ClaimSettled  Kind = 5004
	ClaimFailed   Kind = 5005
	ClaimAttached Kind = 5006
)

var claimRows = map[Kind]row{
	ClaimGranted:  {"claim-granted", "a key's first claim is kept"},
	ClaimRefused:  {"claim-refused", "a key was claimed before"},
	ClaimFenced:   {"claim-fenced", "another writer appended to the shard first"},
	ClaimSettled:  {"claim-settled", "a lost answer of the platform was settled by reading back"},
	ClaimFailed:   {"claim-failed", "a claim could not be written"},
	ClaimAttached: {"claim-attached", "a resend was attached to the run of its key"},
}
