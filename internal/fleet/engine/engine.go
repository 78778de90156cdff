// Package engine is the clock of a simulation: what happens, in order. Two runs
// with the same seed are the same, whatever the machine does.
package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"archknot/balancer"
)

// Engine runs what is due in virtual time. What is due at one moment runs in the
// order in which it was asked for.
type Engine struct {
	now       balancer.Micros
	lastSeq   uint64
	queue     []scheduledEvent
	seed      uint64
	Processed uint64 // events run
}

type scheduledEvent struct {
	at  balancer.Micros
	seq uint64
	run func(now balancer.Micros)
}

// New is an engine at a moment.
func New(seed uint64, now balancer.Micros) *Engine { return &Engine{now: now, seed: seed} }

// Now is the virtual time.
func (e *Engine) Now() balancer.Micros { return e.now }

// Pending is how many events are yet to come.
func (e *Engine) Pending() int { return len(e.queue) }

// Rand is a stream of random numbers of its own for each name: what one part draws
// changes nothing for another.
func (e *Engine) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

// At has something done at a moment, or now if that has passed.
func (e *Engine) At(at balancer.Micros, do func(now balancer.Micros)) {
	e.lastSeq++
	e.push(scheduledEvent{max(at, e.now), e.lastSeq, do})
}

// After has something done after a while.
func (e *Engine) After(d balancer.Micros, do func(now balancer.Micros)) { e.At(e.now+d, do) }

// RunUntil does what is due until a moment, which it then is.
func (e *Engine) RunUntil(until balancer.Micros) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		i := e.pop()
		e.now = i.at
		e.Processed++
		i.run(i.at)
	}
	e.now = max(e.now, until)
}

func less(a, b *scheduledEvent) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (e *Engine) push(i scheduledEvent) {
	h := append(e.queue, i)
	n := len(h) - 1
	for n > 0 {
		up := (n - 1) / 4
		if !less(&i, &h[up]) {
			break
		}
		h[n] = h[up]
		n = up
	}
	h[n] = i
	e.queue = h
}

func (e *Engine) pop() scheduledEvent {
	h := e.queue
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = scheduledEvent{}
	h = h[:len(h)-1]
	e.queue = h
	if len(h) == 0 {
		return top
	}
	n := 0
	for {
		least, first := -1, n*4+1
		for c := first; c < first+4 && c < len(h); c++ {
			if least < 0 || less(&h[c], &h[least]) {
				least = c
			}
		}
		if least < 0 || !less(&h[least], &last) {
			break
		}
		h[n] = h[least]
		n = least
	}
	h[n] = last
	return top
}

// Exponential draws from an exponential distribution with a mean.
func Exponential(r *rand.Rand, mean float64) float64 { return r.ExpFloat64() * mean }

// LogNormal draws from a log-normal distribution with a median and a spread, the
// standard deviation of the logarithm.
func LogNormal(r *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*r.NormFloat64())
}
