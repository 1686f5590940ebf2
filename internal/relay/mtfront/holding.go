package mtfront

// holdingGauges are what callers make the process hold, the limits of it, and what was refused and
// broken off for them.
func (f *Front) holdingGauges() {
	set := f.trail.Metrics()
	set.Gauge("request_bytes", f.memory.Used)
	set.Gauge("request_bytes_limit", f.memory.Limit)
	set.Gauge("requests_broken_off_total", func() int64 {
		broken, _ := f.memory.Counts()
		return broken
	})
	set.Gauge("requests_without_memory_total", func() int64 {
		_, refused := f.memory.Counts()
		return refused
	})
}
