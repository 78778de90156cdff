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
	s       *Stream
	rng     *rand.Rand
	weights []float64 // of the shared beginnings, summed up
}

// NewSource is one for a stream.
func NewSource(s *Stream, rng *rand.Rand) *Source {
	c := &Source{s: s, rng: rng}
	sum := 0.0
	for p := range s.Prefixes {
		sum += 1 / float64(p+1) // by Zipf's law
		c.weights = append(c.weights, sum)
	}
	return c
}

// Session is one client's conversation.
type Session struct {
	key     uint64
	prefix  uint64
	context int // tokens so far
	Left    int // turns
}

// Gap is the time to the next session's beginning. Sessions come as their turns make
// up the stream's rate, times a factor.
func (c *Source) Gap(factor float64) balancer.Micros {
	return balancer.Micros(engine.Exp(c.rng, 1e6/(c.s.PerS/c.s.Turns*factor)))
}

// Session begins one; a part of hot has the most popular beginning.
func (c *Source) Session(hot float64) *Session {
	n := &Session{key: c.rng.Uint64() | 1, Left: 1}
	for c.s.Turns > 1 && c.rng.Float64() > 1/c.s.Turns { // geometric, with that mean
		n.Left++
	}
	if len(c.weights) > 0 {
		at, p := c.rng.Float64()*c.weights[len(c.weights)-1], 0
		for p < len(c.weights)-1 && c.weights[p] < at {
			p++
		}
		if hot > 0 && c.rng.Float64() < hot {
			p = 0
		}
		n.prefix = uint64(p+1)*0x9e3779b97f4a7c15 ^ uint64(len(c.s.Class))
		n.context = c.s.Shared
	}
	return n
}

// UnderWay are sessions that are between two turns when a run begins, with the time
// to the next: as many as there are in the long run, so that the stream's rate is
// reached at once. What the turns before took at workers is left out.
func (c *Source) UnderWay() (list []*Session, in []balancer.Micros) {
	think := c.s.Think * math.Exp(c.s.Spread*c.s.Spread/2) // the mean
	for n := c.s.PerS / c.s.Turns * (c.s.Turns - 1) * think; n > 0 && (n >= 1 || c.rng.Float64() < n); n-- {
		// Turns are geometric: those to come are as many as of a session that begins.
		s := c.Session(0)
		for more := true; more; more = c.rng.Float64() > 1/c.s.Turns {
			s.context += int(c.s.Prompt + c.s.Answer)
		}
		list, in = append(list, s), append(in, balancer.Micros(c.rng.Float64()*think*1e6))
	}
	return list, in
}

// Turn draws a session's next request, and how many tokens it will make.
func (c *Source) Turn(n *Session) (in balancer.Request, out int) {
	n.Left--
	prompt := n.context + max(1, int(engine.LogNormal(c.rng, c.s.Prompt, c.s.Spread)))
	out = min(c.s.MaxOut, max(1, int(engine.LogNormal(c.rng, c.s.Answer, c.s.Spread))))
	in = balancer.Request{Class: c.s.Class, Tenant: c.s.Tenant, PromptTokens: prompt, MaxTokens: c.s.MaxOut}
	if c.s.Turns > 1 {
		in.Session = n.key
	}
	if n.prefix != 0 {
		in.Prefix, in.PrefixTokens = n.prefix, c.s.Shared
	}
	return in, out
}

// Answered adds a turn to the session's context.
func (n *Session) Answered(in *balancer.Request, out int) { n.context = in.PromptTokens + out }

// Think is the time to a session's next turn.
func (c *Source) Think() balancer.Micros {
	return balancer.Micros(engine.LogNormal(c.rng, math.Max(1, c.s.Think*1e6), c.s.Spread))
}

// Again is the time after which a client that was turned away comes back, beyond
// what it was advised.
func (c *Source) Again() balancer.Micros { return balancer.Micros(engine.Exp(c.rng, 500_000)) }

// PatienceOf is how long a client of the stream waits for its first token.
func (s *Stream) PatienceOf(class *balancer.Class) balancer.Micros {
	if s.Patience > 0 {
		return min(class.Deadline, balancer.Micros(s.Patience*1e6))
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
	x     *sim
	s     *Stream
	class *balancer.Class
	from  *Source
}

// begin starts a stream's arrivals.
func (x *sim) begin(i int) {
	s := &x.s.Streams[i]
	t := &traffic{x: x, s: s, class: x.s.ClassOf(s), from: NewSource(s, x.e.Rand("stream"+string(rune('0'+i))+s.Class+s.Tenant))}
	x.traffic = append(x.traffic, t)
	list, in := t.from.UnderWay()
	for i, n := range list {
		x.e.After(in[i], func(now balancer.Micros) { t.turn(now, n) })
	}
	t.next()
}

// next has the next session begin.
func (t *traffic) next() {
	t.x.e.After(t.from.Gap(t.x.burst), func(now balancer.Micros) {
		t.turn(now, t.from.Session(t.x.hot))
		t.next()
	})
}

func (t *traffic) turn(now balancer.Micros, n *Session) {
	in, out := t.from.Turn(n)
	t.send(now, &request{in: in, out: out, session: n, traffic: t})
}

// send sends a request to a gateway of the front's choosing.
func (t *traffic) send(now balancer.Micros, r *request) {
	r.sentAt = now
	r.deadline = now + t.s.PatienceOf(t.class)
	g := t.x.gateways[t.from.rng.IntN(len(t.x.gateways))]
	for range 8 { // a connection that is refused says at once that nobody is there
		if !g.dead {
			break
		}
		g = t.x.gateways[t.from.rng.IntN(len(t.x.gateways))]
	}
	t.x.e.After(t.x.way(g.zone, g.zone), func(now balancer.Micros) { g.arrive(now, r) })
}

// ends is what a client does with the end of its request.
func (x *sim) ends(now balancer.Micros, r *request, how string, after balancer.Micros) {
	t := r.traffic
	// Turned away: it comes back with all it has, as often as it likes to.
	if (how == "refused" || how == "contract") && r.tried < t.s.Retries {
		again := &request{in: r.in, out: r.out, session: r.session, traffic: t, tried: r.tried + 1}
		again.in.ID, again.in.PriorityFactor = 0, 0
		x.res.Retried(r.sentAt-start, &r.in)
		x.e.After(after+t.from.Again(), func(now balancer.Micros) { t.send(now, again) })
		return
	}
	if r.counted {
		panic("a request ended twice") // the model is at fault
	}
	r.counted = true
	x.res.Note(Ended{Class: t.class, In: &r.in, Out: r.out, SentAt: r.sentAt - start, FirstAt: r.firstAt - start, At: now - start, How: how,
		Attempts: len(r.attempts), Wasted: r.wasted})
	if r.session.Left > 0 && how == "served" {
		r.session.Answered(&r.in, r.out)
		x.e.After(t.from.Think(), func(now balancer.Micros) { t.turn(now, r.session) })
	}
}
