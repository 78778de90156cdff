package balancer

import (
	"testing"
)

// An unavailable zone is tried as a whole. Otherwise each of its replicas would have to fail by
// itself, which costs one connect timeout per replica.
func TestUnavailableZoneIsTriedAsAWhole(t *testing.T) {
	endpoints := fleet(20)
	for i := range 10 {
		endpoints[i].Zone = "b"
	}
	b, rec := startBalancer(t, settings(), endpoints...)
	fail := func(i int) {
		b.recordAnswer(101*second, b.rows[i], ConnectFailed, false)
		b.recordFailure(101*second, b.rows[i], ConnectFailed)
	}
	inZone := func(now Micros, from RequestID) (n int) {
		for i := range RequestID(15) {
			if dispatched(b, rec, now, testRequest(from+i)) <= 10 {
				n++
			}
		}
		return n
	}
	for i := range 3 {
		fail(i)
	}
	if b.zones.IsUnavailable(b.rows[0].zone) || inZone(101*second, 50) == 0 {
		t.Fatal("three failed replicas of ten made their zone unavailable")
	}
	fail(3)
	if n := inZone(101*second, 1); n != 0 {
		t.Fatalf("%d of 15 requests sent to the zone right after it became unavailable", n)
	}
	rec.actions = nil
	b.tick(103 * second)
	if n := len(rec.take("health check")); b.settings.MayHealthCheck != (n >= 1) {
		t.Fatalf("%d trials by health checks", n)
	}
	if n := inZone(103*second, 100); b.settings.MayHealthCheck != (n == 0) || n > 1 {
		t.Fatalf("%d trials by requests in the zone", n)
	}
	b.recordAnswer(103*second, b.rows[5], Served, false)
	if n := inZone(103*second+settleTime, 200); n < 2 {
		t.Fatalf("%d of 15 requests sent to the zone after its recovery, want at least 2", n)
	}
	if row := b.rows[1]; row.backoffUntil > 0 || row.consecutiveFailures > 0 {
		t.Fatal("a replica still has backoff or failures from the zone's outage")
	}
}

// settleTime is the time after which a recovered zone is healthy again.
const settleTime = 3 * second
