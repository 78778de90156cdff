// Package engine is a discrete-event simulation engine: it runs scheduled events in the order of virtual
// time. Runs with the same seed are identical on every machine.
package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"archknot/balancer"
)

// Engine runs events in virtual time. Events of the same time run in the order in which they were
// scheduled. It must not be used by several goroutines at once.
type Engine struct {
	now       balancer.Micros
	lastSeq   uint64
	queue     eventQueue
	seed      uint64
	Processed uint64 // events that have run
}

// New returns an engine whose time is now.
func New(seed uint64, now balancer.Micros) *Engine { return &Engine{now: now, seed: seed} }

// Now returns the virtual time.
func (e *Engine) Now() balancer.Micros { return e.now }

// Rand returns an independent stream of random numbers for the name, so that what one part of a simulation
// draws does not change another.
func (e *Engine) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

// At schedules an event for a time, or for now if that has passed.
func (e *Engine) At(at balancer.Micros, run func(now balancer.Micros)) {
	e.lastSeq++
	e.queue.push(event{max(at, e.now), e.lastSeq, run})
}

// After schedules an event for a time from now.
func (e *Engine) After(delay balancer.Micros, run func(now balancer.Micros)) { e.At(e.now+delay, run) }

// RunUntil runs all events up to a time, which is then the current one.
func (e *Engine) RunUntil(until balancer.Micros) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		next := e.queue.pop()
		e.now = next.at
		e.Processed++
		next.run(next.at)
	}
	e.now = max(e.now, until)
}

// Exponential draws from an exponential distribution with a mean.
func Exponential(rng *rand.Rand, mean float64) float64 { return rng.ExpFloat64() * mean }

// LogNormal draws from a log-normal distribution with a median and a spread, the standard deviation of the
// logarithm.
func LogNormal(rng *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*rng.NormFloat64())
}
