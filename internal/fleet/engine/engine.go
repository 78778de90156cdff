// Package engine is a discrete-event simulation engine: it runs scheduled events in order of virtual time.
// Runs with the same seed are identical on every machine.
package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"archknot/balancer"
)

// Engine runs events in virtual time. Events scheduled for the same time run in the order in which they were
// scheduled. An Engine is not safe for concurrent use.
type Engine struct {
	now       balancer.Micros
	lastSeq   uint64
	queue     eventQueue
	seed      uint64
	Processed uint64 // number of events that have run
}

// New returns an engine whose virtual time starts at now.
func New(seed uint64, now balancer.Micros) *Engine { return &Engine{now: now, seed: seed} }

// Now returns the current virtual time.
func (e *Engine) Now() balancer.Micros { return e.now }

// Rand returns an independent random number generator for the name, so that draws in one part of a simulation do
// not change the random numbers of another part. The same name yields the same sequence.
func (e *Engine) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

// At schedules an event for the time at, or for the current time if at has passed.
func (e *Engine) At(at balancer.Micros, run func(now balancer.Micros)) {
	e.lastSeq++
	e.queue.push(event{max(at, e.now), e.lastSeq, run})
}

// After schedules an event after a delay from the current time.
func (e *Engine) After(delay balancer.Micros, run func(now balancer.Micros)) { e.At(e.now+delay, run) }

// RunUntil runs all events scheduled up to and including until, and advances the current time to until.
func (e *Engine) RunUntil(until balancer.Micros) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		next := e.queue.pop()
		e.now = next.at
		e.Processed++
		next.run(next.at)
	}
	e.now = max(e.now, until)
}

// Exponential draws from the exponential distribution with the mean.
func Exponential(rng *rand.Rand, mean float64) float64 { return rng.ExpFloat64() * mean }

// LogNormal draws from the log-normal distribution with the median. spread is the standard deviation of the
// logarithm.
func LogNormal(rng *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*rng.NormFloat64())
}
