package gateway

import (
	"time"

	"archknot/balancer"
)

// monotonicClock reads the monotonic clock in microseconds. It starts at the Unix time, so that
// the start of a replica before the gateway's own start is above 0. With 0 or less it would
// count as long ago, although the replica may still be warming up when its gateway restarts.
type monotonicClock struct {
	start time.Time
	base  balancer.Micros // the reading at start
	wall  *wallClock
}

func newMonotonicClock() monotonicClock {
	now := time.Now()
	wall := &wallClock{read: func() balancer.Micros { return time.Now().UnixMicro() }}
	return monotonicClock{start: now, base: now.UnixMicro(), wall: wall}
}

// now returns the current reading.
func (c monotonicClock) now() balancer.Micros { return c.base + time.Since(c.start).Microseconds() }

// readingAgo returns the reading some time ago.
func (c monotonicClock) readingAgo(ago time.Duration) balancer.Micros {
	return c.now() - ago.Microseconds()
}

// timeAt returns the time of a reading.
func (c monotonicClock) timeAt(reading balancer.Micros) time.Time {
	return c.start.Add(time.Duration(reading-c.base) * time.Microsecond)
}

// fromUnixMillis returns the reading at a past Unix time in milliseconds.
func (c monotonicClock) fromUnixMillis(unixMs int64) balancer.Micros {
	return c.wall.toMonotonic(c.now(), unixMs*1000)
}
