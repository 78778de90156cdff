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

// runAndRead simulates a fleet with known traffic and reads the captures of its gateways.
func runAndRead(t *testing.T, seed uint64, think float64) (*Recording, []model.Stream) {
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

// For known traffic, whose sessions are spread over three captured gateways, at least 90% of the intervals
// contain the true value and no estimate is off by more than a factor of 1.4.
func TestKnownTrafficIsFound(t *testing.T) {
	containing, all := 0, 0
	var missed []string
	for seed := range uint64(8) {
		think := 2.0
		if seed%2 == 1 { // sessionEndGap is limited to half of the capture
			think = 8
		}
		r, actual := runAndRead(t, seed+1, think)
		got := Streams(r.Turns, r.From, r.To)
		if len(got) != 2 {
			t.Fatalf("%d streams", len(got))
		}
		for i, s := range []Stream{got[1], got[0]} {
			want := actual[i]
			if s.Class != want.Class || s.Tenant != want.Tenant {
				t.Fatalf("%s of %s", s.Class, s.Tenant)
			}
			for name, c := range map[string]struct {
				got  Value
				want float64
			}{"rate": {s.Rate, want.RequestsPerSecond}, "turns": {s.Turns, want.Turns}, "think": {s.Think, want.ThinkSeconds}, "prompt": {s.Prompt, want.PromptTokens}, "answer": {s.Answer, want.AnswerTokens},
				"spread": {s.Spread, want.Spread}, "prefixes": {s.Prefixes, float64(want.Prefixes)}, "shared": {s.PrefixTokens, float64(want.PrefixTokens)}, "dispersion": {s.Dispersion, 1}} {
				if c.want == 0 || c.got.N == 0 {
					if c.got.N > 0 {
						t.Errorf("%s of %s: got %v, expected no estimate", name, s.Class, c.got)
					}
					continue
				}
				all++
				if c.got.Low <= c.want && c.want <= c.got.High {
					containing++
				} else {
					missed = append(missed, fmt.Sprintf("seed %d %s %s: %v, true value %v", seed+1, s.Class, name, c.got, c.want))
				}
				if c.got.Value > 1.4*c.want || c.got.Value < c.want/1.4 {
					t.Errorf("%s of %s: %v, true value %v", name, s.Class, c.got, c.want)
				}
			}
		}
	}
	t.Logf("%d of %d intervals contain the true value", containing, all)
	if all < 100 || containing < all*9/10 {
		t.Errorf("%d of %d intervals contain the true value:\n%s", containing, all, strings.Join(missed, "\n"))
	}
}

// Bursts raise the dispersion above that of Poisson arrivals. Unserved requests are noted as unknown, and a
// session whose last turn was not served does not count as ended.
func TestUnknownsOfARecording(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var turns []Turn
	for s := range 200 {
		at := balancer.Micros(s/20) * 10_000_000 // bursts of twenty, ten seconds apart
		turns = append(turns, Turn{At: at + balancer.Micros(rng.IntN(1000)), EndedAt: at + 500_000, Class: "c", PromptTokens: 100, OutputTokens: 10})
	}
	turns = append(turns, Turn{At: 85_000_000, EndedAt: 86_000_000, Class: "c", Session: 7, PromptTokens: 100, OutputTokens: 10},
		Turn{At: 87_000_000, Class: "c", Session: 7, PromptTokens: 220})
	s := Streams(turns, 0, 100_000_000)[0]
	if s.Dispersion.Low < 2 {
		t.Errorf("bursts of twenty: dispersion %v", s.Dispersion)
	}
	if s.Turns.N != 201 || s.Turns.Value > 1.01 {
		t.Errorf("turns %v: expected 201 observations and a mean of at most 1.01; the only session continued once and was then not served", s.Turns)
	}
	if notes := strings.Join(s.Unknown, "\n"); !strings.Contains(notes, "1 of 202 requests") {
		t.Errorf("the unserved request is not noted: %s", notes)
	}
}
