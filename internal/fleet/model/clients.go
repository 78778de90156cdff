package model

import (
	"math"
	"math/rand/v2"

	"archknot/balancer"
	"archknot/internal/fleet/engine"
)

const (
	// meanRetryDelay is the mean time, beyond Retry-After, after which a client retries a request that was shed.
	meanRetryDelay = 500_000 // microseconds
	// maxGatewayPicks is how often the load balancer before the gateways picks another one if a gateway
	// refuses the connection.
	maxGatewayPicks = 8
)

// Source draws the sessions and turns of a stream, for the model and for the emulator's clients.
type Source struct {
	stream  *Stream
	rng     *rand.Rand
	weights []float64 // cumulative weights of the shared prefixes
}

// NewSource returns a source for a stream.
func NewSource(stream *Stream, rng *rand.Rand) *Source {
	c := &Source{stream: stream, rng: rng}
	sum := 0.0
	for rank := range stream.Prefixes {
		sum += 1 / float64(rank+1) // Zipf's law
		c.weights = append(c.weights, sum)
	}
	return c
}

// Session is one client's conversation.
type Session struct {
	TurnsLeft int

	key           uint64
	prefix        uint64 // 0: none
	contextTokens int    // prompts and answers so far
}

// NextArrival draws the time to the arrival of the next session. Sessions arrive so that their turns make
// up the stream's rate, times a factor.
func (c *Source) NextArrival(factor float64) balancer.Micros {
	return balancer.Micros(engine.Exponential(c.rng, 1e6/(c.stream.RequestsPerSecond/c.stream.Turns*factor)))
}

// NewSession draws a session. A share of hotShare has the most popular prefix in any case.
func (c *Source) NewSession(hotShare float64) *Session {
	session := &Session{key: c.rng.Uint64() | 1, TurnsLeft: 1}
	for c.stream.Turns > 1 && c.rng.Float64() > 1/c.stream.Turns { // geometric with that mean
		session.TurnsLeft++
	}
	if len(c.weights) > 0 {
		rank := c.drawPrefix(hotShare)
		session.prefix = uint64(rank+1)*0x9e3779b97f4a7c15 ^ uint64(len(c.stream.Class))
		session.contextTokens = c.stream.PrefixTokens
	}
	return session
}

// drawPrefix draws the rank of a shared prefix, from 0.
func (c *Source) drawPrefix(hotShare float64) int {
	draw := c.rng.Float64() * c.weights[len(c.weights)-1]
	rank := 0
	for rank < len(c.weights)-1 && c.weights[rank] < draw {
		rank++
	}
	if hotShare > 0 && c.rng.Float64() < hotShare {
		rank = 0
	}
	return rank
}

// SessionsInProgress draws the sessions that are between two turns when a run begins, with the times to
// their next turns: as many as there are in the long run, so that the stream's rate is reached at once.
// The time that their earlier turns took at replicas is neglected.
func (c *Source) SessionsInProgress() (sessions []*Session, nextTurnIn []balancer.Micros) {
	meanThink := c.stream.ThinkSeconds * math.Exp(c.stream.Spread*c.stream.Spread/2)
	for n := c.stream.RequestsPerSecond / c.stream.Turns * (c.stream.Turns - 1) * meanThink; n > 0 && (n >= 1 || c.rng.Float64() < n); n-- {
		// The number of turns is geometric: a session in progress has as many to come as a new one.
		session := c.NewSession(0)
		for more := true; more; more = c.rng.Float64() > 1/c.stream.Turns {
			session.contextTokens += int(c.stream.PromptTokens + c.stream.AnswerTokens)
		}
		sessions = append(sessions, session)
		nextTurnIn = append(nextTurnIn, balancer.Micros(c.rng.Float64()*meanThink*1e6))
	}
	return sessions, nextTurnIn
}

// NextTurn draws a session's next request, and the length of its answer.
func (c *Source) NextTurn(session *Session) (request balancer.Request, outputTokens int) {
	session.TurnsLeft--
	s := c.stream
	promptTokens := session.contextTokens + max(1, int(engine.LogNormal(c.rng, s.PromptTokens, s.Spread)))
	outputTokens = min(s.MaxOutputTokens, max(1, int(engine.LogNormal(c.rng, s.AnswerTokens, s.Spread))))
	request = balancer.Request{Class: s.Class, Tenant: s.Tenant, PromptTokens: promptTokens, MaxTokens: s.MaxOutputTokens}
	if s.Turns > 1 {
		request.Session = session.key
	}
	if session.prefix != 0 {
		request.Prefix, request.PrefixTokens = session.prefix, s.PrefixTokens
	}
	return request, outputTokens
}

// AddTurn adds a turn to the session's context.
func (session *Session) AddTurn(request *balancer.Request, outputTokens int) {
	session.contextTokens = request.PromptTokens + outputTokens
}

// ThinkTime draws the time to a session's next turn.
func (c *Source) ThinkTime() balancer.Micros {
	return balancer.Micros(engine.LogNormal(c.rng, math.Max(1, c.stream.ThinkSeconds*1e6), c.stream.Spread))
}

// RetryDelay draws the time, beyond Retry-After, after which a client retries a request that was shed.
func (c *Source) RetryDelay() balancer.Micros {
	return balancer.Micros(engine.Exponential(c.rng, meanRetryDelay))
}

// FirstTokenTimeout returns how long a client of the stream waits for its first token.
func (s *Stream) FirstTokenTimeout(class *balancer.Class) balancer.Micros {
	if s.PatienceSeconds > 0 {
		return min(class.Deadline, balancer.Micros(s.PatienceSeconds*1e6))
	}
	return class.Deadline
}

// ClassOf returns the class of a stream, nil if the settings do not have it.
func (s *Spec) ClassOf(stream *Stream) *balancer.Class {
	for i := range s.Settings.Classes {
		if class := &s.Settings.Classes[i]; class.Name == stream.Class {
			return class
		}
	}
	return nil
}

// traffic is the clients of a stream in the model.
type traffic struct {
	sim    *sim
	stream *Stream
	class  *balancer.Class
	source *Source
}

// startTraffic starts the arrivals of a stream.
func (s *sim) startTraffic(index int) {
	stream := &s.spec.Streams[index]
	rng := s.engine.Rand("stream" + string(rune('0'+index)) + stream.Class + stream.Tenant)
	t := &traffic{sim: s, stream: stream, class: s.spec.ClassOf(stream), source: NewSource(stream, rng)}
	sessions, nextTurnIn := t.source.SessionsInProgress()
	for i, session := range sessions {
		s.engine.After(nextTurnIn[i], func(now balancer.Micros) { t.nextTurn(now, session) })
	}
	t.scheduleNext()
}

// scheduleNext schedules the arrival of the next session.
func (t *traffic) scheduleNext() {
	t.sim.engine.After(t.source.NextArrival(t.sim.arrivalFactor), func(now balancer.Micros) {
		t.nextTurn(now, t.source.NewSession(t.sim.hotPrefixShare))
		t.scheduleNext()
	})
}

func (t *traffic) nextTurn(now balancer.Micros, session *Session) {
	balancerRequest, outputTokens := t.source.NextTurn(session)
	t.send(now, &request{balancerRequest: balancerRequest, outputTokens: outputTokens, session: session, traffic: t})
}

// send sends a request to a gateway that accepts connections.
func (t *traffic) send(now balancer.Micros, r *request) {
	r.sentAt = now
	r.deadline = now + t.stream.FirstTokenTimeout(t.class)
	g := t.pickGateway()
	for range maxGatewayPicks {
		if !g.dead {
			break
		}
		g = t.pickGateway()
	}
	t.sim.engine.After(t.sim.networkDelay(g.zone, g.zone), func(now balancer.Micros) { g.arrive(now, r) })
}

func (t *traffic) pickGateway() *gateway {
	return t.sim.gateways[t.source.rng.IntN(len(t.sim.gateways))]
}

// requestEnded is the end of a request at its client, which retries it or begins the session's next turn.
func (s *sim) requestEnded(now balancer.Micros, r *request, outcome string, retryAfter balancer.Micros) {
	t := r.traffic
	if (outcome == OutcomeShed || outcome == OutcomeContract) && r.clientRetries < t.stream.MaxRetries {
		retry := &request{balancerRequest: r.balancerRequest, outputTokens: r.outputTokens, session: r.session, traffic: t, clientRetries: r.clientRetries + 1}
		retry.balancerRequest.ID, retry.balancerRequest.PriorityFactor = 0, 0
		s.result.CountRetry(r.sentAt-startTime, &r.balancerRequest)
		s.engine.After(retryAfter+t.source.RetryDelay(), func(now balancer.Micros) { t.send(now, retry) })
		return
	}
	if r.counted {
		panic("model: a request ended twice")
	}
	r.counted = true
	s.result.CountEnd(RequestEnd{
		Class:        t.class,
		Request:      &r.balancerRequest,
		OutputTokens: r.outputTokens,
		SentAt:       r.sentAt - startTime,
		FirstTokenAt: r.firstTokenAt - startTime,
		EndedAt:      now - startTime,
		Outcome:      outcome,
		Attempts:     len(r.attempts),
		Wasted:       r.wastedAttempts,
	})
	if r.session.TurnsLeft > 0 && outcome == OutcomeServed {
		r.session.AddTurn(&r.balancerRequest, r.outputTokens)
		s.engine.After(t.source.ThinkTime(), func(now balancer.Micros) { t.nextTurn(now, r.session) })
	}
}
