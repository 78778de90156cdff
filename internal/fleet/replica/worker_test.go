package replica

import (
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

func params() Params {
	return Params{Slots: 4, Queue: 8, Memory: 1600, Block: 16, Chunk: 128, Base: 5000, PerSequence: 200, PerContext: 50, PerPrompt: 30_000}
}

// run lets the worker do all it has, and gives what happened by job.
func run(t testing.TB, w *Worker) map[uint64][]Event {
	t.Helper()
	out := map[uint64][]Event{}
	for n := 0; w.Next() != 0; n++ {
		if n > 1_000_000 {
			t.Fatal("it never ends")
		}
		for _, e := range w.Advance(w.Next()) {
			out[e.Job] = append(out[e.Job], e)
		}
	}
	return out
}

// Whatever comes and goes, memory is within its bound and adds up, each job that
// stays is done once with all its tokens, and in the end nothing is in use.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(params(), 0)
		now := balancer.Micros(1)
		want, got, first := map[uint64]int{}, map[uint64]int{}, map[uint64]bool{}
		check := func() {
			inUse, blocks := map[*block]int{}, 0
			for _, s := range append(append([]*sequence{}, w.running...), w.waiting...) {
				for _, b := range s.blocks {
					inUse[b]++
				}
			}
			for b, n := range inUse {
				if b.refs != n {
					t.Fatalf("a block counts %d users, and has %d", b.refs, n)
				}
			}
			for b := w.idle.next; b != &w.idle; b = b.next {
				blocks++
			}
			if blocks != w.kept || w.used != w.kept+len(inUse) || w.used > w.total {
				t.Fatalf("used %d of %d, kept %d; counted %d in use and %d kept", w.used, w.total, w.kept, len(inUse), blocks)
			}
		}
		advance := func() {
			if now = w.Next(); now == 0 {
				return
			}
			for _, e := range w.Advance(now) {
				switch e.Kind {
				case First:
					if first[e.Job] {
						t.Fatal("two first tokens")
					}
					first[e.Job] = true
				case Done:
					got[e.Job] += e.Made
				}
			}
		}
		for id := uint64(1); id < uint64(rapid.IntRange(1, 60).Draw(t, "jobs")); id++ {
			j := Job{ID: id, Prompt: rapid.IntRange(1, 700).Draw(t, "prompt"), Out: rapid.IntRange(1, 200).Draw(t, "out"),
				Prefix: uint64(rapid.IntRange(0, 2).Draw(t, "prefix")), Session: uint64(100 + rapid.IntRange(0, 4).Draw(t, "session"))}
			if j.Prefix > 0 {
				j.Shared = min(j.Prompt, 160)
			}
			if w.Offer(max(now, 1), j) {
				want[id] = j.Out
			}
			check()
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				advance()
				check()
			}
			if jobs := w.Jobs(); len(jobs) > 0 && rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
				gone := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "which")]
				w.Cancel(gone)
				delete(want, gone)
				check()
			}
			if rapid.IntRange(0, 20).Draw(t, "flush") == 0 {
				w.Flush()
				check()
			}
		}
		for n := 0; w.Next() != 0; n++ {
			if n > 200_000 {
				t.Fatal("it never ends")
			}
			advance()
		}
		for id, out := range want {
			if got[id] != out {
				t.Fatalf("job %d made %d tokens of %d", id, got[id], out)
			}
		}
		w.Flush()
		if w.used != 0 || len(w.byKey) != 0 {
			t.Fatalf("%d blocks stay, %d keys", w.used, len(w.byKey))
		}
	})
}

// A prompt that begins as one before is read only from there on, and its first
// token comes sooner; after a flush it is read whole.
func TestPrefixesAreKept(t *testing.T) {
	w := New(params(), 0)
	ask := func(id uint64, session uint64) (Event, balancer.Micros) {
		at := w.Next() + 1
		if at == 1 {
			at = balancer.Micros(id) * 10_000_000
		}
		if !w.Offer(at, Job{ID: id, Prompt: 640, Out: 2, Prefix: 7, Shared: 480, Session: session}) {
			t.Fatal("declined")
		}
		for {
			now := w.Next()
			for _, e := range w.Advance(now) {
				if e.Kind == First {
					run(t, w)
					return e, now - at
				}
			}
		}
	}
	whole, slow := ask(1, 1)
	shared, quick := ask(2, 2)
	again, quickest := ask(3, 1)
	if whole.Kept != 0 || shared.Kept != 480 || again.Kept != 624 || !(quickest < quick && quick < slow) {
		t.Errorf("kept %d, %d, %d tokens; %d, %d, %d us", whole.Kept, shared.Kept, again.Kept, slow, quick, quickest)
	}
	w.Flush()
	if e, _ := ask(4, 1); e.Kept != 0 {
		t.Errorf("after a flush %d were kept", e.Kept)
	}
}

// More running sequences make longer steps; a slow or cold worker is so by as much.
func TestSteps(t *testing.T) {
	first := func(p Params, jobs int, slow float64, at balancer.Micros) balancer.Micros {
		w := New(p, 1)
		w.Slow(slow)
		for id := range uint64(jobs) {
			w.Offer(at, Job{ID: id + 1, Prompt: 100, Out: 5, Session: id + 1})
		}
		return w.Next() - at
	}
	p := params()
	one, slow := first(p, 1, 1, 1), first(p, 1, 3, 1)
	if slow < 3*one-3 || slow > 3*one+3 {
		t.Errorf("%d us, and three times slower %d", one, slow)
	}
	p.ColdFor, p.ColdSlow = 8_000_000, 4
	if cold, half, warm := first(p, 1, 1, 1), first(p, 1, 1, 4_000_001), first(p, 1, 1, 8_000_001); cold < 4*one-4 || warm != one || half <= warm || half >= cold {
		t.Errorf("cold %d, half warm %d, warm %d; as it should %d", cold, half, warm, one)
	}
	bad := params()
	bad.Memory = 1
	if bad.Check() == nil || p.Check() != nil {
		t.Error("a memory of less than a block passed, or good ones did not")
	}
}

// Where memory runs out the one that came last is set back and read again, and all
// are served.
func TestPreemption(t *testing.T) {
	p := params()
	p.Memory = 640
	w := New(p, 0)
	for id := range uint64(4) {
		if !w.Offer(1, Job{ID: id + 1, Prompt: 140, Out: 300, Session: id + 1}) {
			t.Fatal("declined")
		}
	}
	done := run(t, w)
	for id := range uint64(4) {
		if e := done[id+1]; len(e) != 2 || e[1].Made != 300 {
			t.Errorf("job %d: %+v", id+1, e)
		}
	}
	if w.Preempted == 0 {
		t.Error("nothing was set back")
	}
	if w.Offer(1, Job{ID: 9, Prompt: 600, Out: 100}) {
		t.Error("what can never be held was taken")
	}
}
