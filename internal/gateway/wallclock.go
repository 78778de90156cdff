package gateway

import (
	"log/slog"
	"slices"
	"sync"

	"archknot/balancer"
)

// wallClock converts times of the machines' wall clock, which may be stepped by an hour at any moment,
// to the gateway's own, which runs on. A time may have been taken before a step or after it: it is
// converted by each offset that was seen, and the latest time that is not to come counts. So a replica
// that has just started never seems old, and one that is old seems young only where the clock was
// stepped back by just its age.
type wallClock struct {
	read    func() balancer.Micros // the wall clock
	mu      sync.Mutex
	offsets []balancer.Micros // wall clock less own clock, the newest last
}

const (
	// minClockStep is the change of the offset that counts as a step: below it a clock is slewed, or this task
	// was held up between its looks at the two clocks.
	minClockStep balancer.Micros = 100_000
	// maxClockOffsets bounds the offsets that are remembered.
	maxClockOffsets = 8
	// maxClockSkew is how far in the future a start may lie by clocks that are not set alike.
	maxClockSkew balancer.Micros = 100_000
)

// observe notes the offset as of now. It is called each second, so that no step is missed.
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
	if i := slices.IndexFunc(w.offsets, near); i >= 0 { // stepped back to where it was
		offset = w.offsets[i]
		w.offsets = slices.Delete(w.offsets, i, i+1)
	}
	w.offsets = append(w.offsets, offset)
	if len(w.offsets) > maxClockOffsets {
		w.offsets = slices.Delete(w.offsets, 0, 1)
	}
}

// toMonotonic is a time of the wall clock on the gateway's own, from 1 up to now.
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
	if !found { // to come by any offset: it has started, and cannot be colder than just now
		latest = now
	}
	return max(1, min(now, latest))
}
