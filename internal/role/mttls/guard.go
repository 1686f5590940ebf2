package mttls

import (
	"crypto/tls"
	"net/http"
	"slices"
	"strings"

	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
)

// suffix ends the DNS name that says a certificate's role.
const suffix = ".mustardtide"

// Roles that a certificate can name.
const (
	RoleEntry    = "entry"
	RoleSidecar  = "sidecar"
	RoleOperator = "operator"
)

// callers says who may call a procedure. One that is not listed is for every
// role; what changes a process or its target is listed.
func callers() map[string][]string {
	return map[string][]string{
		mustardtidev1connect.SidecarServiceOfferProcedure:  {RoleEntry},
		mustardtidev1connect.SidecarServiceRunProcedure:    {RoleEntry},
		mustardtidev1connect.SidecarServiceResumeProcedure: {RoleEntry},
		mustardtidev1connect.SidecarServiceAckProcedure:    {RoleEntry},
		mustardtidev1connect.SidecarServiceCancelProcedure: {RoleEntry},
		mustardtidev1connect.SidecarServiceClaimProcedure:  {RoleSidecar},
		mustardtidev1connect.SidecarServiceOrderProcedure:  {RoleOperator},
		mustardtidev1connect.ControlServiceDrainProcedure:  {RoleOperator},
		mustardtidev1connect.QuotaServiceDrawProcedure:     {RoleEntry},
	}
}

// Guard refuses calls that the caller's role does not allow: with a leaked
// entry's key no one drains the fleet. Without TLS it lets all pass.
func Guard(next http.Handler) http.Handler {
	allowed := callers()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		roles, listed := allowed[r.URL.Path]
		if r.TLS != nil && listed && !slices.Contains(roles, roleOf(r.TLS)) {
			http.Error(w, "the certificate's role may not call this", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// roleOf reads the role that the other end's certificate names.
func roleOf(state *tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	for _, name := range state.PeerCertificates[0].DNSNames {
		role, ok := strings.CutSuffix(name, suffix)
		if ok && slices.Contains([]string{RoleEntry, RoleSidecar, RoleOperator}, role) {
			return role
		}
	}
	return ""
}
