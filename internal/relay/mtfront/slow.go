package mtfront

import (
	"slices"
	"time"
)

// slowAfter is how long one piece of an answer, of copySize at most, may take to reach its
// caller. Without it a caller that stops reading, and stays connected, keeps what is held
// for it for ever.
const slowAfter = 15 * time.Second

// prepare undoes what the connection's last request has set.
func (r *request) prepare() {
	// A writer without deadlines is a test's recorder.
	_ = r.control.SetWriteDeadline(time.Time{})
}

// hurry gives the caller slowAfter for what is written next, also by the server once the
// request has returned.
func (r *request) hurry() {
	// As in prepare.
	_ = r.control.SetWriteDeadline(time.Now().Add(slowAfter))
}

// writeBody writes a plain answer's body.
func (r *request) writeBody(body []byte) error {
	for piece := range slices.Chunk(body, copySize) {
		if _, err := (hurried{r}).Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// hurried writes to the caller, with slowAfter for each piece.
type hurried struct{ request *request }

func (h hurried) Write(piece []byte) (int, error) {
	h.request.hurry()
	return h.request.out.Write(piece)
}
