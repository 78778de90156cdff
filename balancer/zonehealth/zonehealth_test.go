package zonehealth

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const second = 1_000_000

func TestFewBadReplicasAreNoOutage(t *testing.T) {
	b := New()
	for i := range uint64(20) { // one worker that fails on and on
		if _, lost := b.RecordMiss(second*Micros(i), 1, 7, 10); lost {
			t.Fatal("one worker's failures lost its site")
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
		t.Fatalf("an answer did not end the doubt: %+v", b.Zones[1])
	}
	for i := range Micros(9) {
		if b.RecordMiss((40+i)*second, 2, 1, 1); b.State(2) == Unavailable {
			t.Fatal("a site of one worker is its worker")
		}
	}
	b.RecordMiss(40*second, 3, 1, 2) // of two both: as likely two bad ones
	if b.RecordMiss(40*second, 3, 2, 2); b.State(3) == Unavailable {
		t.Fatal("two misses of a site of two lost it")
	}
	b.RecordMiss(41*second, 3, 1, 2)
	if b.RecordMiss(42*second, 3, 2, 2); b.State(3) != Unavailable {
		t.Fatal("a site of two never silent enough")
	}
}

func TestUnavailableTriedAndRecovered(t *testing.T) {
	b := New()
	for i := range uint64(missThreshold) {
		news, lost := b.RecordMiss(second, 1, i, 10)
		if lost != (i == missThreshold-1) || news == lost {
			t.Fatalf("miss %d: news %v lost %v", i, news, lost)
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
	if !b.RecordAnswer(6*second, 1, 3, 10) || b.State(1) != Recovering || b.TrafficShare(6*second, 1) != 1 {
		t.Errorf("after one answer: %+v", b.Zones[1])
	}
	b.RecordAnswer(10*second, 1, 4, 10)
	if b.State(1) != Healthy {
		t.Errorf("long after: %v", b.State(1))
	}
}

// Each loss soon after another asks for more words before the site is believed, and lets
// its part grow for longer; both by a bound, and peace makes good.
func TestFlappingZoneRecoversMoreSlowly(t *testing.T) {
	b := New()
	lose := func(now Micros) {
		for i := range uint64(missThreshold) {
			b.RecordMiss(now, 1, i, 10)
		}
	}
	words := func(now Micros) (n int) {
		for w := uint64(20); b.State(1) == Unavailable && n < 50; w++ {
			b.RecordAnswer(now, 1, w, 10)
			n++
		}
		return n
	}
	for i, want := range []int{1, 2, 3, 4, 4, 4} {
		now := Micros(i+1) * 2 * second
		lose(now)
		if got := words(now + second); got != want {
			t.Errorf("loss %d: back after %d words, want %d", i+1, got, want)
		}
		if trust := b.TrafficShare(now+second, 1); i > 0 && (trust >= 1 || trust < 1.0/maxOutages) {
			t.Errorf("loss %d: trusted by %.2f at once", i+1, trust)
		}
		if trust := b.TrafficShare(now+second+maxOutages*recoveryRamp, 1); trust != 1 {
			t.Errorf("loss %d: trusted by %.2f in the end", i+1, trust)
		}
	}
	lose(100 * second)
	if got := words(101 * second); got != 1 {
		t.Errorf("after long peace back after %d words", got)
	}
}

func TestLikelyIsolated(t *testing.T) {
	b := New()
	lose := func(site int) {
		for i := range uint64(missThreshold) {
			b.RecordMiss(second, site, i, 10)
		}
	}
	lose(1)
	if b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("one of two others lost")
	}
	if lose(2); !b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("both others lost")
	}
	if lose(0); b.LikelyIsolated(0, []int{0, 1, 2}) {
		t.Error("its own lost too: its own machine, or all of it")
	}
}

// Whatever happens: a site is lost only by enough distinct workers with no answer between,
// trials keep apart, and the same inputs give the same book.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		of := rapid.IntRange(1, 8).Draw(t, "of")
		silent := map[uint64]bool{}
		var now, tried Micros
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400_000).Draw(t, "dt")
			w := rapid.Uint64Range(0, uint64(of-1)).Draw(t, "worker")
			was := a.State(1)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				if was != Unavailable {
					silent[w] = true
				}
				_, lost := a.RecordMiss(now, 1, w, of)
				b.RecordMiss(now, 1, w, of)
				if lost != (was != Unavailable && a.State(1) == Unavailable) || lost && len(silent) < min(missThreshold, of) {
					t.Fatalf("lost %v by %d of %d, was %v", lost, len(silent), of, was)
				}
			case 2:
				clear(silent)
				if back := a.RecordAnswer(now, 1, w, of); back != (was == Unavailable && a.State(1) == Recovering) || b.RecordAnswer(now, 1, w, of) != back {
					t.Fatalf("back %v, was %v", back, was)
				}
				tried = 0
			case 3:
				by := rapid.Float64Range(0, 1).Draw(t, "by")
				if due := a.TakeTrial(now, 1, by); due != b.TakeTrial(now, 1, by) || due && (was != Unavailable || tried > 0 && now-tried < trialIntervalMin*3/4) {
					t.Fatalf("due %v, was %v, last %d now %d", due, was, tried, now)
				} else if due {
					tried = now
				}
			}
			if zone := a.Zones[1]; zone != nil && (len(zone.MissedReplicas) > missThreshold || len(zone.AnsweredReplicas) > maxOutages || zone.Outages > maxOutages) {
				t.Fatalf("grows: %+v", zone)
			}
			if trust := a.TrafficShare(now, 1); trust <= 0 || trust > 1 {
				t.Fatalf("trust %v", trust)
			}
		}
		if !reflect.DeepEqual(a, b) {
			t.Fatal("two books of one story differ")
		}
	})
}
