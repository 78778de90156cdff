package replica

import (
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

func params() Params {
	return Params{MaxRunning: 4, MaxQueued: 8, MemoryTokens: 1600, BlockTokens: 16, ChunkTokens: 128, StepBase: 5000, StepPerSequence: 200, StepPerContext: 50, StepPerPrompt: 30_000}
}

// run lets the worker do all it has, and gives what happened by job.
func run(t testing.TB, w *Simulator) map[uint64][]Event {
	t.Helper()
	out := map[uint64][]Event{}
	for n := 0; w.StepEnd() != 0; n++ {
		if n > 1_000_000 {
			t.Fatal("it never ends")
		}
		for _, e := range w.Advance(w.StepEnd()) {
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
			for b := w.cachedList.next; b != &w.cachedList; b = b.next {
				blocks++
			}
			if blocks != w.cachedBlocks || w.usedBlocks != w.cachedBlocks+len(inUse) || w.usedBlocks > w.totalBlocks {
				t.Fatalf("used %d of %d, kept %d; counted %d in use and %d kept", w.usedBlocks, w.totalBlocks, w.cachedBlocks, len(inUse), blocks)
			}
		}
		advance := func() {
			if now = w.StepEnd(); now == 0 {
				return
			}
			for _, e := range w.Advance(now) {
				switch e.Kind {
				case FirstToken:
					if first[e.Job] {
						t.Fatal("two first tokens")
					}
					first[e.Job] = true
				case Completed:
					got[e.Job] += e.OutputTokens
				}
			}
		}
		for id := uint64(1); id < uint64(rapid.IntRange(1, 60).Draw(t, "jobs")); id++ {
			j := Job{ID: id, PromptTokens: rapid.IntRange(1, 700).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 200).Draw(t, "out"),
				Prefix: uint64(rapid.IntRange(0, 2).Draw(t, "prefix")), Session: uint64(100 + rapid.IntRange(0, 4).Draw(t, "session"))}
			if j.Prefix > 0 {
				j.PrefixTokens = min(j.PromptTokens, 160)
			}
			if w.Offer(max(now, 1), j) {
				want[id] = j.OutputTokens
			}
			check()
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				advance()
				check()
			}
			if jobs := w.JobIDs(); len(jobs) > 0 && rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
				gone := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "which")]
				w.Cancel(gone)
				delete(want, gone)
				check()
			}
			if rapid.IntRange(0, 20).Draw(t, "flush") == 0 {
				w.FlushCache()
				check()
			}
		}
		for n := 0; w.StepEnd() != 0; n++ {
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
		w.FlushCache()
		if w.usedBlocks != 0 || len(w.byKey) != 0 {
			t.Fatalf("%d blocks stay, %d keys", w.usedBlocks, len(w.byKey))
		}
	})
}

// A prompt that begins as one before is read only from there on, and its first
// token comes sooner; after a flush it is read whole.
func TestPrefixesAreKept(t *testing.T) {
	w := New(params(), 0)
	ask := func(id uint64, session uint64) (Event, balancer.Micros) {
		at := w.StepEnd() + 1
		if at == 1 {
			at = balancer.Micros(id) * 10_000_000
		}
		if !w.Offer(at, Job{ID: id, PromptTokens: 640, OutputTokens: 2, Prefix: 7, PrefixTokens: 480, Session: session}) {
			t.Fatal("declined")
		}
		for {
			now := w.StepEnd()
			for _, e := range w.Advance(now) {
				if e.Kind == FirstToken {
					run(t, w)
					return e, now - at
				}
			}
		}
	}
	whole, slow := ask(1, 1)
	shared, quick := ask(2, 2)
	again, quickest := ask(3, 1)
	if whole.CachedTokens != 0 || shared.CachedTokens != 480 || again.CachedTokens != 624 || !(quickest < quick && quick < slow) {
		t.Errorf("kept %d, %d, %d tokens; %d, %d, %d us", whole.CachedTokens, shared.CachedTokens, again.CachedTokens, slow, quick, quickest)
	}
	w.FlushCache()
	if e, _ := ask(4, 1); e.CachedTokens != 0 {
		t.Errorf("after a flush %d were kept", e.CachedTokens)
	}
}

// More running sequences make longer steps; a slow or cold worker is so by as much.
func TestSteps(t *testing.T) {
	first := func(p Params, jobs int, slow float64, at balancer.Micros) balancer.Micros {
		w := New(p, 1)
		w.SetSlowdown(slow)
		for id := range uint64(jobs) {
			w.Offer(at, Job{ID: id + 1, PromptTokens: 100, OutputTokens: 5, Session: id + 1})
		}
		return w.StepEnd() - at
	}
	p := params()
	one, slow := first(p, 1, 1, 1), first(p, 1, 3, 1)
	if slow < 3*one-3 || slow > 3*one+3 {
		t.Errorf("%d us, and three times slower %d", one, slow)
	}
	p.WarmUpTime, p.WarmUpSlowdown = 8_000_000, 4
	if cold, half, warm := first(p, 1, 1, 1), first(p, 1, 1, 4_000_001), first(p, 1, 1, 8_000_001); cold < 4*one-4 || warm != one || half <= warm || half >= cold {
		t.Errorf("cold %d, half warm %d, warm %d; as it should %d", cold, half, warm, one)
	}
	bad := params()
	bad.MemoryTokens = 1
	if bad.Check() == nil || p.Check() != nil {
		t.Error("a memory of less than a block passed, or good ones did not")
	}
}

// Where memory runs out the one that came last is set back and read again, and all
// are served.
func TestPreemption(t *testing.T) {
	p := params()
	p.MemoryTokens = 640
	w := New(p, 0)
	for id := range uint64(4) {
		if !w.Offer(1, Job{ID: id + 1, PromptTokens: 140, OutputTokens: 300, Session: id + 1}) {
			t.Fatal("declined")
		}
	}
	done := run(t, w)
	for id := range uint64(4) {
		if e := done[id+1]; len(e) != 2 || e[1].OutputTokens != 300 {
			t.Errorf("job %d: %+v", id+1, e)
		}
	}
	if w.Preempted == 0 {
		t.Error("nothing was set back")
	}
	if w.Offer(1, Job{ID: 9, PromptTokens: 600, OutputTokens: 100}) {
		t.Error("what can never be held was taken")
	}
}
