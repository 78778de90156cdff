package zonehealth

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// second is one second in Micros.
const second = 1_000_000

// Failures of a few replicas do not make their zone unavailable, and a zone of few replicas needs
// repeated failures.
func TestFewBadReplicasAreNoOutage(t *testing.T) {
	tracker := New()
	for i := range uint64(20) { // one replica that keeps failing
		if _, unavailable := tracker.RecordMiss(second*Micros(i), 1, 7, 10); unavailable {
			t.Fatal("one replica's failures made its zone unavailable")
		}
	}
	for i := range uint64(3) {
		tracker.RecordMiss(30*second, 1, i, 10)
	}
	if tracker.State(1) != Suspect {
		t.Fatalf("state %v after three of ten replicas missed, want suspect", tracker.State(1))
	}
	tracker.RecordAnswer(30*second+1000, 1, 9, 10) // another replica answers before the fourth miss
	tracker.RecordMiss(30*second+2000, 1, 4, 10)
	if tracker.State(1) != Suspect || len(tracker.Zones[1].MissedReplicas) != 1 {
		t.Fatalf("an answer did not clear the earlier misses: %+v", tracker.Zones[1])
	}
	for i := range Micros(9) {
		if tracker.RecordMiss((40+i)*second, 2, 1, 1); tracker.State(2) == Unavailable {
			t.Fatal("a zone of one replica became unavailable")
		}
	}
	tracker.RecordMiss(40*second, 3, 1, 2) // both of two replicas: could be independent failures
	if tracker.RecordMiss(40*second, 3, 2, 2); tracker.State(3) == Unavailable {
		t.Fatal("two misses in a zone of two made it unavailable")
	}
	tracker.RecordMiss(41*second, 3, 1, 2)
	if tracker.RecordMiss(42*second, 3, 2, 2); tracker.State(3) != Unavailable {
		t.Fatal("a zone of two never becomes unavailable")
	}
}

// An unavailable zone is tried at intervals, and recovers with an answer.
func TestUnavailableTriedAndRecovered(t *testing.T) {
	tracker := New()
	for i := range uint64(missThreshold) {
		suspect, unavailable := tracker.RecordMiss(second, 1, i, 10)
		if unavailable != (i == missThreshold-1) || suspect == unavailable {
			t.Fatalf("miss %d: suspect %v, unavailable %v", i, suspect, unavailable)
		}
	}
	trials := 0
	for now := Micros(second); now < 6*second; now += 250_000 {
		if tracker.TakeTrial(now, 1, 0.5) {
			trials++
		}
	}
	if trials < 4 || trials > 7 {
		t.Errorf("%d trials in 5 s", trials)
	}
	if !tracker.RecordAnswer(6*second, 1, 3, 10) || tracker.State(1) != Recovering || tracker.TrafficFraction(6*second, 1) != 1 {
		t.Errorf("after one answer: %+v", tracker.Zones[1])
	}
	tracker.RecordAnswer(10*second, 1, 4, 10)
	if tracker.State(1) != Healthy {
		t.Errorf("state %v after the recovery, want healthy", tracker.State(1))
	}
}

// With each consecutive outage the zone needs more answers before it recovers, and recovers more
// slowly. Both are bounded, and a long time without an outage resets them.
func TestFlappingZoneRecoversMoreSlowly(t *testing.T) {
	tracker := New()
	fail := func(now Micros) {
		for i := range uint64(missThreshold) {
			tracker.RecordMiss(now, 1, i, 10)
		}
	}
	answersToRecover := func(now Micros) (n int) {
		for replica := uint64(20); tracker.State(1) == Unavailable && n < 50; replica++ {
			tracker.RecordAnswer(now, 1, replica, 10)
			n++
		}
		return n
	}
	for i, want := range []int{1, 2, 3, 4, 4, 4} {
		now := Micros(i+1) * 2 * second
		fail(now)
		if got := answersToRecover(now + second); got != want {
			t.Errorf("outage %d: recovered after %d answers, want %d", i+1, got, want)
		}
		if fraction := tracker.TrafficFraction(now+second, 1); i > 0 && (fraction >= 1 || fraction < 1.0/maxOutages) {
			t.Errorf("outage %d: traffic fraction %.2f at the start of the recovery", i+1, fraction)
		}
		if fraction := tracker.TrafficFraction(now+second+maxOutages*recoveryRamp, 1); fraction != 1 {
			t.Errorf("outage %d: traffic fraction %.2f at the end of the recovery, want 1", i+1, fraction)
		}
	}
	fail(100 * second)
	if got := answersToRecover(101 * second); got != 1 {
		t.Errorf("after a long healthy time: recovered after %d answers, want 1", got)
	}
}

// A gateway is likely isolated if all zones but its own are unavailable to it.
func TestLikelyIsolated(t *testing.T) {
	tracker := New()
	fail := func(zone int) {
		for i := range uint64(missThreshold) {
			tracker.RecordMiss(second, zone, i, 10)
		}
	}
	fail(1)
	if tracker.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("isolated although only one of two other zones is unavailable")
	}
	if fail(2); !tracker.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("not isolated although both other zones are unavailable")
	}
	if fail(0); tracker.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("isolated although its own zone is unavailable too")
	}
}

// For any sequence of events, a zone becomes unavailable only after misses of enough distinct replicas
// without an answer in between, trials are at least the minimum interval apart, and equal inputs give
// equal trackers.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, repeated := New(), New()
		ready := rapid.IntRange(1, 8).Draw(t, "ready")
		missed := map[uint64]bool{}
		var now, lastTrialAt Micros
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400_000).Draw(t, "dt")
			replica := rapid.Uint64Range(0, uint64(ready-1)).Draw(t, "replica")
			before := tracker.State(1)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if before != Unavailable {
					missed[replica] = true
				}
				_, unavailable := tracker.RecordMiss(now, 1, replica, ready)
				repeated.RecordMiss(now, 1, replica, ready)
				if unavailable != (before != Unavailable && tracker.State(1) == Unavailable) || unavailable && len(missed) < min(missThreshold, ready) {
					t.Fatalf("unavailable %v after misses of %d of %d replicas, was %v", unavailable, len(missed), ready, before)
				}
			case 2:
				clear(missed)
				if recovers := tracker.RecordAnswer(now, 1, replica, ready); recovers != (before == Unavailable && tracker.State(1) == Recovering) || repeated.RecordAnswer(now, 1, replica, ready) != recovers {
					t.Fatalf("recovers %v, was %v", recovers, before)
				}
				lastTrialAt = 0
			case 3:
				jitter := rapid.Float64Range(0, 1).Draw(t, "jitter")
				if due := tracker.TakeTrial(now, 1, jitter); due != repeated.TakeTrial(now, 1, jitter) || due && (before != Unavailable || lastTrialAt > 0 && now-lastTrialAt < trialIntervalMin*3/4) {
					t.Fatalf("trial due %v, was %v, last trial at %d, now %d", due, before, lastTrialAt, now)
				} else if due {
					lastTrialAt = now
				}
			}
			if zone := tracker.Zones[1]; zone != nil && (len(zone.MissedReplicas) > missThreshold || len(zone.AnsweredReplicas) > maxOutages || zone.Outages > maxOutages) {
				t.Fatalf("unbounded growth: %+v", zone)
			}
			if fraction := tracker.TrafficFraction(now, 1); fraction <= 0 || fraction > 1 {
				t.Fatalf("traffic fraction %v out of (0, 1]", fraction)
			}
		}
		if !reflect.DeepEqual(tracker, repeated) {
			t.Fatal("two trackers with the same inputs differ")
		}
	})
}
