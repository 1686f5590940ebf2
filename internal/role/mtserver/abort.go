package mtserver

import (
	"crypto/tls"
	"net/http"
)

// Abort ends the handler of a request and the connection in the middle of the answer, so that
// it does not look whole. A caller that speaks HTTP/1.0 has no other sign of an answer's end
// than the connection's: it gets a reset.
func Abort(w http.ResponseWriter, in *http.Request) {
	if !in.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset takes the connection from the server and resets it. Where it can't be taken, the
// server closes it.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without it the connection ends as any other.
		_ = lingering.SetLinger(0)
	}
	conn.Close()
}
