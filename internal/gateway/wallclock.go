package gateway

import (
	"log/slog"
	"slices"
	"sync"

	"archknot/balancer"
)

// wallClock converts times of the machines' wall clock to the gateway's monotonic clock. The
// wall clock may be stepped by any amount at any moment, and a time may have been taken before
// or after a step. So a time is converted by each observed offset, and the latest result that
// is not in the future is used. The result is never too old for a replica that has just
// started, and too young for an old one only if the clock was stepped back by just its age.
type wallClock struct {
	read    func() balancer.Micros // the wall clock, Unix time
	mu      sync.Mutex
	offsets []balancer.Micros // wall clock less monotonic clock, the newest last
}

const (
	// minClockStep is the smallest change of the offset that counts as a step. A smaller one
	// means that the clock is slewed, or that time passed between reading the two clocks.
	minClockStep balancer.Micros = 100_000
	// maxClockOffsets bounds the stored offsets.
	maxClockOffsets = 8
	// maxClockSkew is how far in the future a start may be, since the machines' clocks differ.
	maxClockSkew balancer.Micros = 100_000
)

// observe records the current offset. It is called each second, so that no step is missed.
func (w *wallClock) observe(now balancer.Micros) {
	offset := w.read() - now
	w.mu.Lock()
	defer w.mu.Unlock()
	near := func(known balancer.Micros) bool { return -minClockStep < offset-known && offset-known < minClockStep }
	n := len(w.offsets)
	if n > 0 && near(w.offsets[n-1]) {
		return
	}
	if n > 0 {
		slog.Warn("clock_stepped", "by_ms", (offset-w.offsets[n-1])/1000)
	}
	if i := slices.IndexFunc(w.offsets, near); i >= 0 { // stepped back to an earlier offset
		offset = w.offsets[i]
		w.offsets = slices.Delete(w.offsets, i, i+1)
	}
	w.offsets = append(w.offsets, offset)
	if len(w.offsets) > maxClockOffsets {
		w.offsets = slices.Delete(w.offsets, 0, 1)
	}
}

// toMonotonic returns the monotonic time of a replica's start at a wall clock time. The result
// is from 1 to now.
func (w *wallClock) toMonotonic(now, wall balancer.Micros) balancer.Micros {
	w.observe(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	latest, found := balancer.Micros(0), false
	for _, offset := range w.offsets {
		if at := wall - offset; at <= now+maxClockSkew && (!found || at > latest) {
			latest, found = at, true
		}
	}
	if !found { // in the future by each offset: it started just now at the latest
		latest = now
	}
	return max(1, min(now, latest))
}
