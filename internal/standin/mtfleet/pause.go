package mtfleet

// Pause holds up one process as SIGSTOP does: it reads and writes nothing, and
// its connections stay open.
func (f *Fleet) Pause(name string) {
	if n := f.find(name); n != nil {
		f.wire.Pause(name, n.internal, n.public)
	}
}

// Resume lets a paused process go on.
func (f *Fleet) Resume(name string) {
	if n := f.find(name); n != nil {
		f.wire.Resume(name, n.internal, n.public)
	}
}
