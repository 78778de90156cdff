package zonehealth

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// second is one second in Micros.
const second = 1_000_000

// Few bad replicas, or few replicas, are no outage of their zone.
func TestFewBadReplicasAreNoOutage(t *testing.T) {
	b := New()
	for i := range uint64(20) { // one replica that fails on and on
		if _, unavailable := b.RecordMiss(second*Micros(i), 1, 7, 10); unavailable {
			t.Fatal("one replica's failures made its zone unavailable")
		}
	}
	for i := range uint64(3) {
		b.RecordMiss(30*second, 1, i, 10)
	}
	if b.State(1) != Suspect {
		t.Fatalf("three of ten silent: %v", b.State(1))
	}
	b.RecordAnswer(30*second+1000, 1, 9, 10) // a fourth is silent, but another answers before
	b.RecordMiss(30*second+2000, 1, 4, 10)
	if b.State(1) != Suspect || len(b.Zones[1].MissedReplicas) != 1 {
		t.Fatalf("an answer did not end the suspicion: %+v", b.Zones[1])
	}
	for i := range Micros(9) {
		if b.RecordMiss((40+i)*second, 2, 1, 1); b.State(2) == Unavailable {
			t.Fatal("a zone of one replica became unavailable")
		}
	}
	b.RecordMiss(40*second, 3, 1, 2) // both of two: as likely two bad replicas
	if b.RecordMiss(40*second, 3, 2, 2); b.State(3) == Unavailable {
		t.Fatal("two misses in a zone of two made it unavailable")
	}
	b.RecordMiss(41*second, 3, 1, 2)
	if b.RecordMiss(42*second, 3, 2, 2); b.State(3) != Unavailable {
		t.Fatal("a zone of two never becomes unavailable")
	}
}

// An unavailable zone is tried at intervals, and recovers with an answer.
func TestUnavailableTriedAndRecovered(t *testing.T) {
	b := New()
	for i := range uint64(missThreshold) {
		suspect, unavailable := b.RecordMiss(second, 1, i, 10)
		if unavailable != (i == missThreshold-1) || suspect == unavailable {
			t.Fatalf("miss %d: suspect %v, unavailable %v", i, suspect, unavailable)
		}
	}
	trials := 0
	for now := Micros(second); now < 6*second; now += 250_000 {
		if b.TakeTrial(now, 1, 0.5) {
			trials++
		}
	}
	if trials < 4 || trials > 7 {
		t.Errorf("%d trials in 5 s", trials)
	}
	if !b.RecordAnswer(6*second, 1, 3, 10) || b.State(1) != Recovering || b.TrafficFraction(6*second, 1) != 1 {
		t.Errorf("after one answer: %+v", b.Zones[1])
	}
	b.RecordAnswer(10*second, 1, 4, 10)
	if b.State(1) != Healthy {
		t.Errorf("long after: %v", b.State(1))
	}
}

// Each outage soon after another needs more answers before the zone recovers, and a longer ramp;
// both are bounded, and a long healthy time resets them.
func TestFlappingZoneRecoversMoreSlowly(t *testing.T) {
	b := New()
	fail := func(now Micros) {
		for i := range uint64(missThreshold) {
			b.RecordMiss(now, 1, i, 10)
		}
	}
	answersToRecover := func(now Micros) (n int) {
		for w := uint64(20); b.State(1) == Unavailable && n < 50; w++ {
			b.RecordAnswer(now, 1, w, 10)
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
		if trust := b.TrafficFraction(now+second, 1); i > 0 && (trust >= 1 || trust < 1.0/maxOutages) {
			t.Errorf("outage %d: a share of %.2f at once", i+1, trust)
		}
		if trust := b.TrafficFraction(now+second+maxOutages*recoveryRamp, 1); trust != 1 {
			t.Errorf("outage %d: a share of %.2f in the end", i+1, trust)
		}
	}
	fail(100 * second)
	if got := answersToRecover(101 * second); got != 1 {
		t.Errorf("after a long healthy time recovered after %d answers", got)
	}
}

// A gateway is likely isolated if all zones but its own are unavailable.
func TestLikelyIsolated(t *testing.T) {
	b := New()
	fail := func(zone int) {
		for i := range uint64(missThreshold) {
			b.RecordMiss(second, zone, i, 10)
		}
	}
	fail(1)
	if b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("one of two others unavailable")
	}
	if fail(2); !b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("both others unavailable")
	}
	if fail(0); b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("its own unavailable too: its own machine, or all of it")
	}
}

// Whatever happens: a zone is unavailable only by enough distinct replicas with no answer between,
// trials keep apart, and the same inputs give the same tracker.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		ready := rapid.IntRange(1, 8).Draw(t, "ready")
		silent := map[uint64]bool{}
		var now, tried Micros
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400_000).Draw(t, "dt")
			w := rapid.Uint64Range(0, uint64(ready-1)).Draw(t, "replica")
			before := a.State(1)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if before != Unavailable {
					silent[w] = true
				}
				_, unavailable := a.RecordMiss(now, 1, w, ready)
				b.RecordMiss(now, 1, w, ready)
				if unavailable != (before != Unavailable && a.State(1) == Unavailable) || unavailable && len(silent) < min(missThreshold, ready) {
					t.Fatalf("unavailable %v by %d of %d, was %v", unavailable, len(silent), ready, before)
				}
			case 2:
				clear(silent)
				if back := a.RecordAnswer(now, 1, w, ready); back != (before == Unavailable && a.State(1) == Recovering) || b.RecordAnswer(now, 1, w, ready) != back {
					t.Fatalf("back %v, was %v", back, before)
				}
				tried = 0
			case 3:
				jitter := rapid.Float64Range(0, 1).Draw(t, "jitter")
				if due := a.TakeTrial(now, 1, jitter); due != b.TakeTrial(now, 1, jitter) || due && (before != Unavailable || tried > 0 && now-tried < trialIntervalMin*3/4) {
					t.Fatalf("due %v, was %v, last %d now %d", due, before, tried, now)
				} else if due {
					tried = now
				}
			}
			if zone := a.Zones[1]; zone != nil && (len(zone.MissedReplicas) > missThreshold || len(zone.AnsweredReplicas) > maxOutages || zone.Outages > maxOutages) {
				t.Fatalf("grows: %+v", zone)
			}
			if share := a.TrafficFraction(now, 1); share <= 0 || share > 1 {
				t.Fatalf("traffic share %v", share)
			}
		}
		if !reflect.DeepEqual(a, b) {
			t.Fatal("two trackers of one sequence differ")
		}
	})
}
