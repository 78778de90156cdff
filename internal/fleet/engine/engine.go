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
	now  balancer.Micros
	seq  uint64
	heap []item
	seed uint64
	Done uint64 // events run
}

type item struct {
	at  balancer.Micros
	seq uint64
	do  func(now balancer.Micros)
}

// New is an engine at a moment.
func New(seed uint64, now balancer.Micros) *Engine { return &Engine{now: now, seed: seed} }

// Now is the virtual time.
func (e *Engine) Now() balancer.Micros { return e.now }

// Pending is how many events are yet to come.
func (e *Engine) Pending() int { return len(e.heap) }

// Rand is a stream of random numbers of its own for each name: what one part draws
// changes nothing for another.
func (e *Engine) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

// At has something done at a moment, or now if that has passed.
func (e *Engine) At(at balancer.Micros, do func(now balancer.Micros)) {
	e.seq++
	e.push(item{max(at, e.now), e.seq, do})
}

// After has something done after a while.
func (e *Engine) After(d balancer.Micros, do func(now balancer.Micros)) { e.At(e.now+d, do) }

// Run does what is due until a moment, which it then is.
func (e *Engine) Run(until balancer.Micros) {
	for len(e.heap) > 0 && e.heap[0].at <= until {
		i := e.pop()
		e.now = i.at
		e.Done++
		i.do(i.at)
	}
	e.now = max(e.now, until)
}

func less(a, b *item) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (e *Engine) push(i item) {
	h := append(e.heap, i)
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
	e.heap = h
}

func (e *Engine) pop() item {
	h := e.heap
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = item{}
	h = h[:len(h)-1]
	e.heap = h
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

// Exp draws from an exponential distribution with a mean.
func Exp(r *rand.Rand, mean float64) float64 { return r.ExpFloat64() * mean }

// LogNormal draws from a log-normal distribution with a median and a spread, the
// standard deviation of the logarithm.
func LogNormal(r *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*r.NormFloat64())
}
