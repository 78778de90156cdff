package model

import (
	"math"
	"math/rand/v2"

	"archknot/balancer"
	"archknot/internal/fleet/engine"
)

const (
	// meanRetryDelay is the mean delay, in addition to Retry-After, before a client retries a shed request.
	meanRetryDelay = 500_000 // microseconds
	// maxGatewayPicks limits how often the load balancer in front of the gateways picks another gateway
	// after a refused connection.
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
	source := &Source{stream: stream, rng: rng}
	sum := 0.0
	for rank := range stream.Prefixes {
		sum += 1 / float64(rank+1) // Zipf's law
		source.weights = append(source.weights, sum)
	}
	return source
}

// Session is one client's conversation.
type Session struct {
	TurnsLeft int

	key           uint64
	prefix        uint64 // 0: none
	contextTokens int    // prompts and answers so far
}

// NextArrival draws the time to the arrival of the next session. On average, the turns of the arriving
// sessions add up to the stream's request rate times the factor.
func (source *Source) NextArrival(factor float64) balancer.Micros {
	return balancer.Micros(engine.Exponential(source.rng, 1e6/(source.stream.RequestsPerSecond/source.stream.Turns*factor)))
}

// NewSession draws a session. A fraction hotPrefixFraction of the sessions gets the most popular prefix,
// in addition to those that draw it by popularity.
func (source *Source) NewSession(hotPrefixFraction float64) *Session {
	session := &Session{key: source.rng.Uint64() | 1, TurnsLeft: 1}
	for source.stream.Turns > 1 && source.rng.Float64() > 1/source.stream.Turns { // geometric with mean Turns
		session.TurnsLeft++
	}
	if len(source.weights) > 0 {
		rank := source.drawPrefix(hotPrefixFraction)
		session.prefix = uint64(rank+1)*0x9e3779b97f4a7c15 ^ uint64(len(source.stream.Class))
		session.contextTokens = source.stream.PrefixTokens
	}
	return session
}

// drawPrefix draws the popularity rank of a shared prefix; 0 is the most popular one.
func (source *Source) drawPrefix(hotPrefixFraction float64) int {
	draw := source.rng.Float64() * source.weights[len(source.weights)-1]
	rank := 0
	for rank < len(source.weights)-1 && source.weights[rank] < draw {
		rank++
	}
	if hotPrefixFraction > 0 && source.rng.Float64() < hotPrefixFraction {
		rank = 0
	}
	return rank
}

// SessionsInProgress draws the sessions that are between two turns when a run begins, and the times to
// their next turns. Their number is that of the steady state, so that the stream reaches its rate at once.
// The time that turns spend at replicas is neglected.
func (source *Source) SessionsInProgress() (sessions []*Session, nextTurnIn []balancer.Micros) {
	meanThink := source.stream.ThinkSeconds * math.Exp(source.stream.Spread*source.stream.Spread/2)
	for remaining := source.stream.RequestsPerSecond / source.stream.Turns * (source.stream.Turns - 1) * meanThink; remaining > 0 && (remaining >= 1 || source.rng.Float64() < remaining); remaining-- {
		// The geometric distribution is memoryless: a session in progress has as many turns left as a new one.
		session := source.NewSession(0)
		for hasEarlierTurn := true; hasEarlierTurn; hasEarlierTurn = source.rng.Float64() > 1/source.stream.Turns {
			session.contextTokens += int(source.stream.PromptTokens + source.stream.AnswerTokens)
		}
		sessions = append(sessions, session)
		nextTurnIn = append(nextTurnIn, balancer.Micros(source.rng.Float64()*meanThink*1e6))
	}
	return sessions, nextTurnIn
}

// NextTurn draws a session's next request and the length of its answer.
func (source *Source) NextTurn(session *Session) (request balancer.Request, outputTokens int) {
	session.TurnsLeft--
	s := source.stream
	promptTokens := session.contextTokens + max(1, int(engine.LogNormal(source.rng, s.PromptTokens, s.Spread)))
	outputTokens = min(s.MaxOutputTokens, max(1, int(engine.LogNormal(source.rng, s.AnswerTokens, s.Spread))))
	request = balancer.Request{Class: s.Class, Tenant: s.Tenant, PromptTokens: promptTokens, MaxTokens: s.MaxOutputTokens}
	if s.Turns > 1 {
		request.Session = session.key
	}
	if session.prefix != 0 {
		request.Prefix, request.PrefixTokens = session.prefix, s.PrefixTokens
	}
	return request, outputTokens
}

// AddTurn adds the prompt and the answer of a turn to the session's context.
func (session *Session) AddTurn(request *balancer.Request, outputTokens int) {
	session.contextTokens = request.PromptTokens + outputTokens
}

// ThinkTime draws the time to a session's next turn.
func (source *Source) ThinkTime() balancer.Micros {
	return balancer.Micros(engine.LogNormal(source.rng, math.Max(1, source.stream.ThinkSeconds*1e6), source.stream.Spread))
}

// RetryDelay draws the delay, in addition to Retry-After, before a client retries a shed request.
func (source *Source) RetryDelay() balancer.Micros {
	return balancer.Micros(engine.Exponential(source.rng, meanRetryDelay))
}

// FirstTokenTimeout returns how long a client of the stream waits for its first token.
func (s *Stream) FirstTokenTimeout(class *balancer.Class) balancer.Micros {
	if s.FirstTokenTimeoutSeconds > 0 {
		return min(class.Deadline, balancer.Micros(s.FirstTokenTimeoutSeconds*1e6))
	}
	return class.Deadline
}

// ClassOf returns the class of a stream, or nil if the settings do not define it.
func (s *Spec) ClassOf(stream *Stream) *balancer.Class {
	for i := range s.Settings.Classes {
		if class := &s.Settings.Classes[i]; class.Name == stream.Class {
			return class
		}
	}
	return nil
}

// traffic simulates the clients of a stream.
type traffic struct {
	sim    *sim
	stream *Stream
	class  *balancer.Class
	source *Source
}

// startTraffic starts the sessions in progress and the arrivals of a stream.
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
		t.nextTurn(now, t.source.NewSession(t.sim.hotPrefixFraction))
		t.scheduleNext()
	})
}

func (t *traffic) nextTurn(now balancer.Micros, session *Session) {
	balancerRequest, outputTokens := t.source.NextTurn(session)
	t.send(now, &request{balancerRequest: balancerRequest, outputTokens: outputTokens, session: session, traffic: t})
}

// send sends a request to a random gateway. Gateways that are down are skipped, up to maxGatewayPicks times.
func (t *traffic) send(now balancer.Micros, r *request) {
	r.sentAt = now
	r.deadline = now + t.stream.FirstTokenTimeout(t.class)
	g := t.pickGateway()
	for range maxGatewayPicks {
		if !g.killed {
			break
		}
		g = t.pickGateway()
	}
	t.sim.engine.After(t.sim.networkDelay(g.zone, g.zone), func(now balancer.Micros) { g.arrive(now, r) })
}

func (t *traffic) pickGateway() *gateway {
	return t.sim.gateways[t.source.rng.IntN(len(t.sim.gateways))]
}

// requestEnded handles the end of a request at its client: the client retries a rejected request, or
// schedules the session's next turn after a served one.
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
