package site

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

const sec = 1_000_000

func TestSomeBadWorkersAreNoLostSite(t *testing.T) {
	b := New()
	for i := range uint64(20) { // one worker that fails on and on
		if _, lost := b.Miss(sec*Micros(i), 1, 7, 10); lost {
			t.Fatal("one worker's failures lost its site")
		}
	}
	for i := range uint64(3) {
		b.Miss(30*sec, 1, i, 10)
	}
	if b.State(1) != Doubted {
		t.Fatalf("three of ten silent: %v", b.State(1))
	}
	b.Heard(30*sec+1000, 1, 9, 10) // a fourth is silent, but another answers before
	b.Miss(30*sec+2000, 1, 4, 10)
	if b.State(1) != Doubted || len(b.Places[1].Missed) != 1 {
		t.Fatalf("an answer did not end the doubt: %+v", b.Places[1])
	}
	for i := range Micros(9) {
		if b.Miss((40+i)*sec, 2, 1, 1); b.State(2) == Lost {
			t.Fatal("a site of one worker is its worker")
		}
	}
	b.Miss(40*sec, 3, 1, 2) // of two both: as likely two bad ones
	if b.Miss(40*sec, 3, 2, 2); b.State(3) == Lost {
		t.Fatal("two misses of a site of two lost it")
	}
	b.Miss(41*sec, 3, 1, 2)
	if b.Miss(42*sec, 3, 2, 2); b.State(3) != Lost {
		t.Fatal("a site of two never silent enough")
	}
}

func TestLostTriedAndBack(t *testing.T) {
	b := New()
	for i := range uint64(need) {
		news, lost := b.Miss(sec, 1, i, 10)
		if lost != (i == need-1) || news == lost {
			t.Fatalf("miss %d: news %v lost %v", i, news, lost)
		}
	}
	trials := 0
	for now := Micros(sec); now < 6*sec; now += 250_000 {
		if b.Due(now, 1, 0.5) {
			trials++
		}
	}
	if trials < 4 || trials > 7 {
		t.Errorf("%d trials in 5 s", trials)
	}
	if !b.Heard(6*sec, 1, 3, 10) || b.State(1) != Returning || b.Trust(6*sec, 1) != 1 {
		t.Errorf("after one answer: %+v", b.Places[1])
	}
	b.Heard(10*sec, 1, 4, 10)
	if b.State(1) != Well {
		t.Errorf("long after: %v", b.State(1))
	}
}

// Each loss soon after another asks for more words before the site is believed, and lets
// its part grow for longer; both by a bound, and peace makes good.
func TestFlappingIsTrustedMoreSlowly(t *testing.T) {
	b := New()
	lose := func(now Micros) {
		for i := range uint64(need) {
			b.Miss(now, 1, i, 10)
		}
	}
	words := func(now Micros) (n int) {
		for w := uint64(20); b.State(1) == Lost && n < 50; w++ {
			b.Heard(now, 1, w, 10)
			n++
		}
		return n
	}
	for i, want := range []int{1, 2, 3, 4, 4, 4} {
		now := Micros(i+1) * 2 * sec
		lose(now)
		if got := words(now + sec); got != want {
			t.Errorf("loss %d: back after %d words, want %d", i+1, got, want)
		}
		if trust := b.Trust(now+sec, 1); i > 0 && (trust >= 1 || trust < 1.0/flaps) {
			t.Errorf("loss %d: trusted by %.2f at once", i+1, trust)
		}
		if trust := b.Trust(now+sec+flaps*settles, 1); trust != 1 {
			t.Errorf("loss %d: trusted by %.2f in the end", i+1, trust)
		}
	}
	lose(100 * sec)
	if got := words(101 * sec); got != 1 {
		t.Errorf("after long peace back after %d words", got)
	}
}

func TestAlone(t *testing.T) {
	b := New()
	lose := func(site int) {
		for i := range uint64(need) {
			b.Miss(sec, site, i, 10)
		}
	}
	lose(1)
	if b.Alone(0, []int{0, 1, 2}) {
		t.Error("one of two others lost")
	}
	if lose(2); !b.Alone(0, []int{0, 1, 2}) {
		t.Error("both others lost")
	}
	if lose(0); b.Alone(0, []int{0, 1, 2}) {
		t.Error("its own lost too: its own machine, or all of it")
	}
}

// Whatever happens: a site is lost only by enough distinct workers with no answer between,
// trials keep apart, and the same inputs give the same book.
func TestAnyStory(t *testing.T) {
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
				if was != Lost {
					silent[w] = true
				}
				_, lost := a.Miss(now, 1, w, of)
				b.Miss(now, 1, w, of)
				if lost != (was != Lost && a.State(1) == Lost) || lost && len(silent) < min(need, of) {
					t.Fatalf("lost %v by %d of %d, was %v", lost, len(silent), of, was)
				}
			case 2:
				clear(silent)
				if back := a.Heard(now, 1, w, of); back != (was == Lost && a.State(1) == Returning) || b.Heard(now, 1, w, of) != back {
					t.Fatalf("back %v, was %v", back, was)
				}
				tried = 0
			case 3:
				by := rapid.Float64Range(0, 1).Draw(t, "by")
				if due := a.Due(now, 1, by); due != b.Due(now, 1, by) || due && (was != Lost || tried > 0 && now-tried < firstTrial*3/4) {
					t.Fatalf("due %v, was %v, last %d now %d", due, was, tried, now)
				} else if due {
					tried = now
				}
			}
			if p := a.Places[1]; p != nil && (len(p.Missed) > need || len(p.Heard) > flaps || p.Losses > flaps) {
				t.Fatalf("grows: %+v", p)
			}
			if trust := a.Trust(now, 1); trust <= 0 || trust > 1 {
				t.Fatalf("trust %v", trust)
			}
		}
		if !reflect.DeepEqual(a, b) {
			t.Fatal("two books of one story differ")
		}
	})
}

func TestRests(t *testing.T) {
	r := Rests{First: 500_000, Most: 16_000_000}
	if got := r.Rest(1, true, 30, 0.5); got != 500_000 {
		t.Errorf("silent: %d", got)
	}
	if got := r.Rest(1, false, 30, 0.5); got != 15_000_000 {
		t.Errorf("quick errors before 300 gateways: %d", got)
	}
	if got := r.Rest(60, true, 1, 1); got != 20_000_000 {
		t.Errorf("bound: %d", got)
	}
}
