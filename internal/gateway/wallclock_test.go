package gateway

import (
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"

	"pgregory.net/rapid"
)

const (
	secondUs balancer.Micros = 1_000_000
	hourUs                   = 3600 * secondUs
)

// A replica's start is converted correctly across steps of the wall clock, forward and back, by
// seconds or an hour, whether it was taken before the step or after it: a replica that is
// warming up never seems old, and an old one never seems to start in the future.
func TestReplicaStartsAcrossClockSteps(t *testing.T) {
	const began = 1_700_000_000 * secondUs
	for _, step := range []balancer.Micros{hourUs, -hourUs, 5 * secondUs, -5 * secondUs, 400_000, -400_000} {
		monotonic, stepOffset := began, balancer.Micros(0)
		w := &wallClock{read: func() balancer.Micros { return monotonic + stepOffset }}
		w.observe(monotonic)
		monotonic += 60 * secondUs
		before := monotonic - 3*secondUs // started 3 s before the step, and dated then
		dated := before
		stepOffset = step
		monotonic += 2 * secondUs
		younger := balancer.Micros(0) // after a step by less than the replica's age, the start may be before or after it
		if -step > 0 && -step <= monotonic-before+maxClockSkew {
			younger = -step
		}
		if got := w.toMonotonic(monotonic, dated); got < before || got > before+younger {
			t.Errorf("step %d ms: a start before it is converted %d ms off", step/1000, (got-before)/1000)
		}
		after := monotonic - secondUs // started after the step, and dated by the new time
		if younger = 0; step > 0 && step <= monotonic-after+maxClockSkew {
			younger = step
		}
		if got := w.toMonotonic(monotonic, after+stepOffset); got < after || got > after+younger {
			t.Errorf("step %d ms: a start after it is converted %d ms off", step/1000, (got-after)/1000)
		}
		if got := w.toMonotonic(monotonic, monotonic+stepOffset+10*hourUs); got != monotonic {
			t.Errorf("a start in the future: %d ms off", (got-monotonic)/1000)
		}
	}
}

// Whatever steps the clock takes, while the gateway observes it each second, a replica that has
// just started seems as old as it is or younger, and never to start in the future.
func TestWarmingUpReplicaNeverSeemsOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monotonic, stepOffset := 1_700_000_000*secondUs, balancer.Micros(0)
		w := &wallClock{read: func() balancer.Micros { return monotonic + stepOffset }}
		w.observe(monotonic)
		for range rapid.IntRange(1, maxClockOffsets-1).Draw(t, "steps") {
			started, dated := monotonic, monotonic+stepOffset
			monotonic += rapid.Int64Range(0, 20).Draw(t, "wait") * secondUs
			stepOffset += rapid.Int64Range(-hourUs, hourUs).Draw(t, "step")
			w.observe(monotonic)
			monotonic += rapid.Int64Range(0, 5).Draw(t, "converted after") * secondUs
			if got := w.toMonotonic(monotonic, dated); got < started-minClockStep || got > monotonic {
				t.Fatalf("started %d ms ago, seems %d", (monotonic-started)/1000, (monotonic-got)/1000)
			}
		}
	})
}

// A step changes nothing about known replicas: each start is converted once.
func TestKnownReplicaStartIsStable(t *testing.T) {
	g := newTestGateway(t, testOptions())
	offset := balancer.Micros(0)
	g.clock.wall.read = func() balancer.Micros { return g.clock.now() + offset }
	l := g.loop
	list := httpwire.EndpointList{Reset: true, Endpoints: []httpwire.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a", Kind: "k", Lifecycle: "ready",
		StartedAtMs: (g.clock.now() - secondUs) / 1000}}}
	l.now = g.clock.now()
	l.receiveList(list, balancer.ListFull, l.now)
	before := *l.endpoints.ByName("s-1")
	offset = -hourUs
	l.receiveList(list, balancer.ListFull, l.now)
	if now := l.endpoints.ByName("s-1"); now.StartedAt != before.StartedAt {
		t.Errorf("its start moved by %d ms", (now.StartedAt-before.StartedAt)/1000)
	}
}

// A replica that started shortly before the gateway is still warming up. On a clock that starts
// at 0 with the gateway, its start would be below 0, which means long ago.
func TestReplicaStartsBeforeGateway(t *testing.T) {
	c := newMonotonicClock()
	at := c.fromUnixMillis(time.Now().Add(-3 * time.Second).UnixMilli())
	if age := c.now() - at; at <= 0 || age < 2_900_000 || age > 3_500_000 {
		t.Errorf("started at %d, %d us ago", at, age)
	}
}
