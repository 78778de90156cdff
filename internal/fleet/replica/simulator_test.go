package replica

import (
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

func params() Params {
	return Params{MaxRunning: 4, MaxQueued: 8, MemoryTokens: 1600, BlockTokens: 16, ChunkTokens: 128, StepBase: 5000, StepPerSequence: 200, StepPerContext: 50, StepPerPrompt: 30_000}
}

// run advances the simulator until it is idle and returns the events by job.
func run(t *testing.T, sim *Simulator) map[uint64][]Event {
	t.Helper()
	out := map[uint64][]Event{}
	for n := 0; sim.StepEnd() != 0; n++ {
		if n > 1_000_000 {
			t.Fatal("replica did not become idle")
		}
		for _, e := range sim.Advance(sim.StepEnd()) {
			out[e.Job] = append(out[e.Job], e)
		}
	}
	return out
}

// For random sequences of jobs, cancellations and flushes: the block counts are consistent and within the limit,
// each accepted job that is not cancelled completes once with all its tokens, and no blocks leak.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := New(params(), 0)
		now := balancer.Micros(1)
		want, got, firstTokenSeen := map[uint64]int{}, map[uint64]int{}, map[uint64]bool{}
		check := func() {
			inUse, blocks := map[*block]int{}, 0
			for _, s := range append(append([]*sequence{}, sim.running...), sim.waiting...) {
				for _, b := range s.blocks {
					inUse[b]++
				}
			}
			for b, n := range inUse {
				if b.refs != n {
					t.Fatalf("block has %d refs, but %d sequences use it", b.refs, n)
				}
			}
			for b := sim.memory.cached.next; b != &sim.memory.cached; b = b.next {
				blocks++
			}
			if m := sim.memory; blocks != m.cachedCount || m.usedCount != m.cachedCount+len(inUse) || m.usedCount > m.totalCount {
				t.Fatalf("used %d of %d, cached %d; counted %d in use and %d cached", m.usedCount, m.totalCount, m.cachedCount, len(inUse), blocks)
			}
		}
		advance := func() {
			if now = sim.StepEnd(); now == 0 {
				return
			}
			for _, e := range sim.Advance(now) {
				switch e.Kind {
				case FirstToken:
					if firstTokenSeen[e.Job] {
						t.Fatal("two first tokens")
					}
					firstTokenSeen[e.Job] = true
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
			if sim.Submit(max(now, 1), j) {
				want[id] = j.OutputTokens
			}
			check()
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				advance()
				check()
			}
			if jobs := sim.JobIDs(); len(jobs) > 0 && rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
				cancelledID := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "which")]
				sim.Cancel(cancelledID)
				delete(want, cancelledID)
				check()
			}
			if rapid.IntRange(0, 20).Draw(t, "flush") == 0 {
				sim.FlushCache()
				check()
			}
		}
		for n := 0; sim.StepEnd() != 0; n++ {
			if n > 200_000 {
				t.Fatal("replica did not become idle")
			}
			advance()
		}
		for id, out := range want {
			if got[id] != out {
				t.Fatalf("job %d made %d tokens of %d", id, got[id], out)
			}
		}
		sim.FlushCache()
		if sim.memory.usedCount != 0 || len(sim.memory.byKey) != 0 {
			t.Fatalf("%d blocks in use, %d keys", sim.memory.usedCount, len(sim.memory.byKey))
		}
	})
}

// Cached prefix and session blocks are not computed again, so that the first token is earlier. After a flush the
// whole prompt is computed.
func TestPrefixesAreCached(t *testing.T) {
	sim := New(params(), 0)
	submit := func(id uint64, session uint64) (Event, balancer.Micros) {
		at := sim.StepEnd() + 1
		if at == 1 {
			at = balancer.Micros(id) * 10_000_000
		}
		if !sim.Submit(at, Job{ID: id, PromptTokens: 640, OutputTokens: 2, Prefix: 7, PrefixTokens: 480, Session: session}) {
			t.Fatal("declined")
		}
		for {
			now := sim.StepEnd()
			for _, e := range sim.Advance(now) {
				if e.Kind == FirstToken {
					run(t, sim)
					return e, now - at
				}
			}
		}
	}
	full, slow := submit(1, 1)
	shared, quick := submit(2, 2)
	again, quickest := submit(3, 1)
	if full.CachedTokens != 0 || shared.CachedTokens != 480 || again.CachedTokens != 624 || quickest >= quick || quick >= slow {
		t.Errorf("cached %d, %d, %d tokens; %d, %d, %d us", full.CachedTokens, shared.CachedTokens, again.CachedTokens, slow, quick, quickest)
	}
	sim.FlushCache()
	if e, _ := submit(4, 1); e.CachedTokens != 0 {
		t.Errorf("after a flush %d tokens were cached", e.CachedTokens)
	}
}

// Slowdown and warm-up multiply the duration of steps by their factors; Check rejects invalid parameters.
func TestSteps(t *testing.T) {
	firstStepTime := func(p Params, jobs int, slow float64, at balancer.Micros) balancer.Micros {
		sim := New(p, 1)
		sim.SetSlowdown(slow)
		for id := range uint64(jobs) {
			sim.Submit(at, Job{ID: id + 1, PromptTokens: 100, OutputTokens: 5, Session: id + 1})
		}
		return sim.StepEnd() - at
	}
	p := params()
	one, slow := firstStepTime(p, 1, 1, 1), firstStepTime(p, 1, 3, 1)
	if slow < 3*one-3 || slow > 3*one+3 {
		t.Errorf("%d us, and three times slower %d", one, slow)
	}
	p.WarmUpTime, p.WarmUpSlowdown = 8_000_000, 4
	if initial, half, warm := firstStepTime(p, 1, 1, 1), firstStepTime(p, 1, 1, 4_000_001), firstStepTime(p, 1, 1, 8_000_001); initial < 4*one-4 || warm != one || half <= warm || half >= initial {
		t.Errorf("warming up %d, half way %d, warm %d; expected %d", initial, half, warm, one)
	}
	invalid := params()
	invalid.MemoryTokens = 1
	if invalid.Check() == nil || p.Check() != nil {
		t.Error("a memory of less than a block was accepted, or valid parameters were not")
	}
}

// When memory is exhausted, sequences are preempted, and all jobs still complete with all their tokens. A job that
// exceeds the capacity of the KV cache is declined.
func TestPreemption(t *testing.T) {
	p := params()
	p.MemoryTokens = 640
	sim := New(p, 0)
	for id := range uint64(4) {
		if !sim.Submit(1, Job{ID: id + 1, PromptTokens: 140, OutputTokens: 300, Session: id + 1}) {
			t.Fatal("declined")
		}
	}
	done := run(t, sim)
	for id := range uint64(4) {
		if e := done[id+1]; len(e) != 2 || e[1].OutputTokens != 300 {
			t.Errorf("job %d: %+v", id+1, e)
		}
	}
	if sim.Preempted == 0 {
		t.Error("nothing was preempted")
	}
	if sim.Submit(1, Job{ID: 9, PromptTokens: 600, OutputTokens: 100}) {
		t.Error("a job that memory can never hold was accepted")
	}
}
