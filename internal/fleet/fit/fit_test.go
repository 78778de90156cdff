package fit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
)

// recorded plays a fleet with known traffic and reads what its gateways recorded.
func recorded(t *testing.T, seed uint64, think float64) (*Recording, []model.Stream) {
	t.Helper()
	p := replica.Params{MaxRunning: 64, MaxQueued: 64, MemoryTokens: 400_000, BlockTokens: 16, ChunkTokens: 2048, StepBase: 4000, StepPerSequence: 50, StepPerContext: 10, StepPerPrompt: 10_000,
		StartupTime: 1_000_000, WarmUpTime: 1_000_000, WarmUpSlowdown: 2, ConnectTime: 100}
	s := &model.Spec{Seed: seed, Duration: 120_000_000, WarmUp: 5_000_000, Gateways: 3, SameZoneDelay: 250, CrossZoneDelay: 10_000, PollWait: 10_000_000, Capture: t.TempDir(),
		Settings: balancer.Settings{MaxAttempts: 3, Tick: 2000, MayCancel: true, PollDiscovery: true, ReportSource: balancer.ReportInline, InitialCapacity: 0.3,
			OverloadMultiple: 3, SlowStartFor: 1_000_000, OverloadWindow: 1_500_000, StreamsPerConn: 1, ConnIdleTimeout: 60_000_000,
			Classes: []balancer.Class{{Name: "bulk", LatencyObjective: 4_000_000, TokenObjective: 300_000, Deadline: 10_000_000, PriorityWeight: 1, Streaming: true},
				{Name: "chat", LatencyObjective: 4_000_000, TokenObjective: 300_000, Deadline: 10_000_000, PriorityWeight: 2, Streaming: true}}},
		Groups: []model.Group{{Name: "k", Zone: "a", Count: 8, Weight: 1, Params: p}},
		Streams: []model.Stream{{Class: "chat", Tenant: "t", RequestsPerSecond: 12, Turns: 3, ThinkSeconds: think, PromptTokens: 200, AnswerTokens: 60, Spread: 0.5, MaxOutputTokens: 600, Prefixes: 12, PrefixTokens: 512},
			{Class: "bulk", Tenant: "u", RequestsPerSecond: 4, Turns: 1, PromptTokens: 900, AnswerTokens: 40, Spread: 0.5, MaxOutputTokens: 800}}}
	if _, err := model.Run(s); err != nil {
		t.Fatal(err)
	}
	runs, err := capture.FindRuns(s.Capture+"/gateway0", s.Capture+"/gateway1", s.Capture+"/gateway2")
	if err != nil || len(runs) != 3 {
		t.Fatal(len(runs), err)
	}
	r, err := Read(runs)
	if err != nil {
		t.Fatal(err)
	}
	return r, s.Streams
}

// Traffic that is known, recorded by three gateways that serve each other's sessions:
// nine in ten of the intervals or more hold what it was made with.
func TestKnownTrafficIsFound(t *testing.T) {
	in, all := 0, 0
	var off []string
	for seed := range uint64(8) {
		think := 2.0
		if seed%2 == 1 { // half of the recording is over before a session counts as ended
			think = 8
		}
		r, truth := recorded(t, seed+1, think)
		got := Streams(r.Turns, r.From, r.To)
		if len(got) != 2 {
			t.Fatalf("%d streams", len(got))
		}
		for i, s := range []Stream{got[1], got[0]} {
			w := truth[i]
			if s.Class != w.Class || s.Tenant != w.Tenant {
				t.Fatalf("%s of %s", s.Class, s.Tenant)
			}
			for name, c := range map[string]struct {
				got  Value
				want float64
			}{"rate": {s.Rate, w.RequestsPerSecond}, "turns": {s.Turns, w.Turns}, "think": {s.Think, w.ThinkSeconds}, "prompt": {s.Prompt, w.PromptTokens}, "answer": {s.Answer, w.AnswerTokens},
				"spread": {s.Spread, w.Spread}, "prefixes": {s.Prefixes, float64(w.Prefixes)}, "shared": {s.Shared, float64(w.PrefixTokens)}, "dispersion": {s.Dispersion, 1}} {
				if c.want == 0 || c.got.N == 0 {
					if c.got.N > 0 {
						t.Errorf("%s of %s: %v where there is none", name, s.Class, c.got)
					}
					continue
				}
				all++
				if c.got.Low <= c.want && c.want <= c.got.High {
					in++
				} else {
					off = append(off, fmt.Sprintf("seed %d %s %s: %v, made with %v", seed+1, s.Class, name, c.got, c.want))
				}
				if c.got.Value > 1.4*c.want || c.got.Value < c.want/1.4 {
					t.Errorf("%s of %s: %v, made with %v", name, s.Class, c.got, c.want)
				}
			}
		}
	}
	t.Logf("%d of %d intervals hold the truth", in, all)
	if all < 100 || in < all*9/10 {
		t.Errorf("%d of %d intervals hold the truth:\n%s", in, all, strings.Join(off, "\n"))
	}
}

// Arrivals that come in bursts are told from those by chance; what was cut off, not
// served or never seen again is named and does not count as an end.
func TestWhatARecordingDoesNotTell(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var turns []Turn
	for s := range 200 {
		at := balancer.Micros(s/20) * 10_000_000 // twenty at once, each ten seconds
		turns = append(turns, Turn{At: at + balancer.Micros(rng.IntN(1000)), EndedAt: at + 500_000, Class: "c", PromptTokens: 100, OutputTokens: 10})
	}
	turns = append(turns, Turn{At: 85_000_000, EndedAt: 86_000_000, Class: "c", Session: 7, PromptTokens: 100, OutputTokens: 10},
		Turn{At: 87_000_000, Class: "c", Session: 7, PromptTokens: 220})
	s := Streams(turns, 0, 100_000_000)[0]
	if s.Dispersion.Low < 2 {
		t.Errorf("bursts of twenty: dispersion %v", s.Dispersion)
	}
	if s.Turns.N != 201 || s.Turns.Value > 1.01 {
		t.Errorf("turns %v: one session went on, and is then not served", s.Turns)
	}
	if said := strings.Join(s.Unknown, "\n"); !strings.Contains(said, "1 of 202 requests") {
		t.Errorf("not told: %s", said)
	}
}
