package model

import (
	"math"
	"math/rand/v2"

	"archknot/balancer"
	"archknot/internal/fleet/engine"
)

// Source draws a stream's sessions and turns: for the model, and for the emulator's
// clients.
type Source struct {
	stream  *Stream
	rng     *rand.Rand
	weights []float64 // of the shared beginnings, summed up
}

// NewSource is one for a stream.
func NewSource(s *Stream, rng *rand.Rand) *Source {
	c := &Source{stream: s, rng: rng}
	sum := 0.0
	for p := range s.Prefixes {
		sum += 1 / float64(p+1) // by Zipf's law
		c.weights = append(c.weights, sum)
	}
	return c
}

// Session is one client's conversation.
type Session struct {
	key           uint64
	prefix        uint64
	contextTokens int // tokens so far
	TurnsLeft     int // turns
}

// NextArrival is the time to the next session's beginning. Sessions come as their turns make
// up the stream's rate, times a factor.
func (c *Source) NextArrival(factor float64) balancer.Micros {
	return balancer.Micros(engine.Exponential(c.rng, 1e6/(c.stream.RequestsPerSecond/c.stream.Turns*factor)))
}

// NewSession begins one; a part of hot has the most popular beginning.
func (c *Source) NewSession(hot float64) *Session {
	n := &Session{key: c.rng.Uint64() | 1, TurnsLeft: 1}
	for c.stream.Turns > 1 && c.rng.Float64() > 1/c.stream.Turns { // geometric, with that mean
		n.TurnsLeft++
	}
	if len(c.weights) > 0 {
		at, p := c.rng.Float64()*c.weights[len(c.weights)-1], 0
		for p < len(c.weights)-1 && c.weights[p] < at {
			p++
		}
		if hot > 0 && c.rng.Float64() < hot {
			p = 0
		}
		n.prefix = uint64(p+1)*0x9e3779b97f4a7c15 ^ uint64(len(c.stream.Class))
		n.contextTokens = c.stream.PrefixTokens
	}
	return n
}

// SessionsInProgress are sessions that are between two turns when a run begins, with the time
// to the next: as many as there are in the long run, so that the stream's rate is
// reached at once. What the turns before took at workers is left out.
func (c *Source) SessionsInProgress() (list []*Session, in []balancer.Micros) {
	think := c.stream.ThinkSeconds * math.Exp(c.stream.Spread*c.stream.Spread/2) // the mean
	for n := c.stream.RequestsPerSecond / c.stream.Turns * (c.stream.Turns - 1) * think; n > 0 && (n >= 1 || c.rng.Float64() < n); n-- {
		// Turns are geometric: those to come are as many as of a session that begins.
		s := c.NewSession(0)
		for more := true; more; more = c.rng.Float64() > 1/c.stream.Turns {
			s.contextTokens += int(c.stream.PromptTokens + c.stream.AnswerTokens)
		}
		list, in = append(list, s), append(in, balancer.Micros(c.rng.Float64()*think*1e6))
	}
	return list, in
}

// NextTurn draws a session's next request, and how many tokens it will make.
func (c *Source) NextTurn(n *Session) (in balancer.Request, out int) {
	n.TurnsLeft--
	prompt := n.contextTokens + max(1, int(engine.LogNormal(c.rng, c.stream.PromptTokens, c.stream.Spread)))
	out = min(c.stream.MaxOutputTokens, max(1, int(engine.LogNormal(c.rng, c.stream.AnswerTokens, c.stream.Spread))))
	in = balancer.Request{Class: c.stream.Class, Tenant: c.stream.Tenant, PromptTokens: prompt, MaxTokens: c.stream.MaxOutputTokens}
	if c.stream.Turns > 1 {
		in.Session = n.key
	}
	if n.prefix != 0 {
		in.Prefix, in.PrefixTokens = n.prefix, c.stream.PrefixTokens
	}
	return in, out
}

// AddTurn adds a turn to the session's context.
func (n *Session) AddTurn(in *balancer.Request, out int) { n.contextTokens = in.PromptTokens + out }

// ThinkTime is the time to a session's next turn.
func (c *Source) ThinkTime() balancer.Micros {
	return balancer.Micros(engine.LogNormal(c.rng, math.Max(1, c.stream.ThinkSeconds*1e6), c.stream.Spread))
}

// RetryDelay is the time after which a client that was turned away comes back, beyond
// what it was advised.
func (c *Source) RetryDelay() balancer.Micros {
	return balancer.Micros(engine.Exponential(c.rng, 500_000))
}

// FirstTokenTimeout is how long a client of the stream waits for its first token.
func (s *Stream) FirstTokenTimeout(class *balancer.Class) balancer.Micros {
	if s.PatienceSeconds > 0 {
		return min(class.Deadline, balancer.Micros(s.PatienceSeconds*1e6))
	}
	return class.Deadline
}

// ClassOf is the class of a stream.
func (s *Spec) ClassOf(t *Stream) *balancer.Class {
	for j := range s.Settings.Classes {
		if c := &s.Settings.Classes[j]; c.Name == t.Class {
			return c
		}
	}
	return nil
}

// traffic is one stream's clients in the model.
type traffic struct {
	sim    *sim
	stream *Stream
	class  *balancer.Class
	source *Source
}

// startTraffic starts a stream's arrivals.
func (x *sim) startTraffic(i int) {
	s := &x.spec.Streams[i]
	t := &traffic{sim: x, stream: s, class: x.spec.ClassOf(s), source: NewSource(s, x.engine.Rand("stream"+string(rune('0'+i))+s.Class+s.Tenant))}
	x.traffic = append(x.traffic, t)
	list, in := t.source.SessionsInProgress()
	for i, n := range list {
		x.engine.After(in[i], func(now balancer.Micros) { t.turn(now, n) })
	}
	t.scheduleNext()
}

// scheduleNext has the next session begin.
func (t *traffic) scheduleNext() {
	t.sim.engine.After(t.source.NextArrival(t.sim.arrivalFactor), func(now balancer.Micros) {
		t.turn(now, t.source.NewSession(t.sim.hotPrefixShare))
		t.scheduleNext()
	})
}

func (t *traffic) turn(now balancer.Micros, n *Session) {
	in, out := t.source.NextTurn(n)
	t.send(now, &request{balancerRequest: in, outputTokens: out, session: n, traffic: t})
}

// send sends a request to a gateway of the front's choosing.
func (t *traffic) send(now balancer.Micros, r *request) {
	r.sentAt = now
	r.deadline = now + t.stream.FirstTokenTimeout(t.class)
	g := t.sim.gateways[t.source.rng.IntN(len(t.sim.gateways))]
	for range 8 { // a connection that is refused says at once that nobody is there
		if !g.dead {
			break
		}
		g = t.sim.gateways[t.source.rng.IntN(len(t.sim.gateways))]
	}
	t.sim.engine.After(t.sim.networkDelay(g.zone, g.zone), func(now balancer.Micros) { g.arrive(now, r) })
}

// requestEnded is what a client does with the end of its request.
func (x *sim) requestEnded(now balancer.Micros, r *request, how string, after balancer.Micros) {
	t := r.traffic
	// Turned away: it comes back with all it has, as often as it likes to.
	if (how == "refused" || how == "contract") && r.clientRetries < t.stream.MaxRetries {
		again := &request{balancerRequest: r.balancerRequest, outputTokens: r.outputTokens, session: r.session, traffic: t, clientRetries: r.clientRetries + 1}
		again.balancerRequest.ID, again.balancerRequest.PriorityFactor = 0, 0
		x.result.CountRetry(r.sentAt-startTime, &r.balancerRequest)
		x.engine.After(after+t.source.RetryDelay(), func(now balancer.Micros) { t.send(now, again) })
		return
	}
	if r.counted {
		panic("a request ended twice") // the model is at fault
	}
	r.counted = true
	x.result.CountEnd(RequestEnd{Class: t.class, Request: &r.balancerRequest, OutputTokens: r.outputTokens, SentAt: r.sentAt - startTime, FirstTokenAt: r.firstTokenAt - startTime, EndedAt: now - startTime, Outcome: how,
		Attempts: len(r.attempts), Wasted: r.wastedAttempts})
	if r.session.TurnsLeft > 0 && how == "served" {
		r.session.AddTurn(&r.balancerRequest, r.outputTokens)
		x.engine.After(t.source.ThinkTime(), func(now balancer.Micros) { t.turn(now, r.session) })
	}
}
