package model

import (
	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
)

// request is a client's request to a gateway.
type request struct {
	balancerRequest balancer.Request
	traffic         *traffic
	session         *Session
	clientRetries   int // number of earlier tries by the client
	sentAt          balancer.Micros
	deadline        balancer.Micros // for the first token
	outputTokens    int
	attempts        []*attempt
	winner          *attempt // the attempt whose stream is forwarded to the client
	finished        bool     // the client has its final answer or has disconnected
	firstTokenAt    balancer.Micros
	wastedAttempts  int  // attempts that may have run and whose output was not used
	counted         bool // the request is in the result

	charge       contract.Charge          // open until the first attempt takes it over
	charges      map[int]*contract.Charge // by attempt index
	estimatedUse contract.Usage
	overQuota    bool
}

// arrive handles the arrival of a client's request.
func (g *gateway) arrive(now balancer.Micros, r *request) {
	if g.killed {
		g.sim.requestEnded(now, r, OutcomeFailed, 0)
		return
	}
	for g.requests[g.nextID] != nil || g.nextID == 0 {
		g.nextID++
	}
	r.balancerRequest.ID = g.nextID
	g.nextID++
	r.balancerRequest.TimeLeft = r.deadline - now
	g.requests[r.balancerRequest.ID] = r
	if g.recordedLedger != nil && !g.chargeRequest(now, r) {
		return
	}
	g.sim.engine.At(r.deadline, func(now balancer.Micros) { g.clientTimedOut(now, r) })
	if list, changed := g.selector.AssignAffinityTarget(now, &r.balancerRequest); changed {
		g.module.ListChanged(now, list)
	}
	g.module.RequestArrived(now, r.balancerRequest)
}

// chargeRequest charges a request to its contract. If the contract rejects it, the request ends and
// chargeRequest returns false.
func (g *gateway) chargeRequest(now balancer.Micros, r *request) bool {
	verdict := g.recordedLedger.Charge(now, &r.balancerRequest, 0, &r.charge)
	g.ledger.TakeNotices()
	if verdict.Rejected {
		r.finished = true
		g.sim.requestEnded(now, r, OutcomeContract, verdict.RetryAfter)
		g.removeIfFinished(r)
		return false
	}
	r.balancerRequest.PriorityFactor = max(1e-6, verdict.PriorityWeight)
	r.overQuota = verdict.OverQuota
	r.estimatedUse = r.charge.Estimate
	return true
}

// clientTimedOut handles the disconnection of a client whose first token has not arrived by the deadline.
func (g *gateway) clientTimedOut(now balancer.Micros, r *request) {
	if r.finished || r.winner != nil {
		return
	}
	r.finished = true
	g.module.ClientGone(now, r.balancerRequest.ID)
	for _, a := range r.attempts {
		if !a.ended {
			a.ended = true
			a.cancel()
			g.reportOutcome(now, a, balancer.Cancelled, balancer.LoadReport{})
		}
	}
	g.sim.requestEnded(now, r, OutcomeLate, 0)
	g.removeIfFinished(r)
}

// removeIfFinished removes a request that is finished and has no attempts in flight.
func (g *gateway) removeIfFinished(r *request) {
	if !r.finished {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	if g.recordedLedger != nil {
		g.recordedLedger.Settle(g.sim.engine.Now(), r.balancerRequest.ID, 0, &r.charge, contract.Usage{}, false)
	}
	delete(g.requests, r.balancerRequest.ID)
}

// openCharges returns the charges that are not settled, for the recorder's checkpoints.
func (g *gateway) openCharges() (open []contract.OpenCharge) {
	for id, r := range g.requests {
		if r.charge.Open() {
			open = append(open, contract.OpenCharge{Key: capture.ChargeKey(id, 0), Charge: &r.charge})
		}
		for index, charge := range r.charges {
			if charge.Open() {
				open = append(open, contract.OpenCharge{Key: capture.ChargeKey(id, index), Charge: charge})
			}
		}
	}
	return open
}

// Dispatch implements balancer.Sink.
func (g *gateway) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	s := g.sim
	r, now := g.requests[id], s.engine.Now()
	if r == nil || r.finished || r.winner != nil {
		return
	}
	h := s.hosts[to-1]
	s.lastJobID++
	a := &attempt{gateway: g, request: r, index: len(r.attempts), host: h, jobID: s.lastJobID, sentAt: now}
	r.attempts = append(r.attempts, a)
	if g.recordedLedger != nil && !g.chargeAttempt(now, a) {
		s.engine.After(0, func(now balancer.Micros) { g.attemptEnded(now, a, balancer.NotSent, balancer.LoadReport{}) })
		return
	}
	if timeoutAt <= 0 || timeoutAt > r.deadline {
		timeoutAt = r.deadline
	}
	s.engine.At(timeoutAt, func(now balancer.Micros) {
		if !a.ended && r.winner != a && !r.finished {
			a.cancel()
			g.attemptEnded(now, a, balancer.TimedOut, balancer.LoadReport{})
		}
	})
	s.engine.After(s.networkDelay(g.zone, h.zone)+h.group.Params.ConnectTime, a.arrive)
}

// chargeAttempt charges an attempt to the contract. The first attempt takes over the request's charge.
// chargeAttempt returns false if the contract rejects the attempt.
func (g *gateway) chargeAttempt(now balancer.Micros, a *attempt) bool {
	r := a.request
	charge := &contract.Charge{}
	if a.index == 0 {
		*charge, r.charge = r.charge, contract.Charge{}
	} else if verdict := g.recordedLedger.Charge(now, &r.balancerRequest, a.index, charge); verdict.Rejected {
		return false
	}
	if r.charges == nil {
		r.charges = map[int]*contract.Charge{}
	}
	r.charges[a.index] = charge
	return true
}

// firstToken handles the arrival of an attempt's first token. The first attempt of a request with a token
// is the winner; later ones are cancelled.
func (g *gateway) firstToken(now balancer.Micros, a *attempt) {
	r := a.request
	if a.ended || a.firstTokenSeen {
		return
	}
	a.firstTokenSeen = true
	if r.finished || r.winner != nil {
		a.cancel()
		g.attemptEnded(now, a, balancer.Cancelled, balancer.LoadReport{})
		return
	}
	r.winner, r.firstTokenAt = a, now
	g.module.FirstToken(now, balancer.Outcome{
		ID:      r.balancerRequest.ID,
		Attempt: a.index,
		Replica: balancer.ReplicaID(a.host.index + 1),
		Elapsed: now - a.sentAt,
	})
}

// attemptEnded handles the end of an attempt, and that of its request if the attempt is the winner.
func (g *gateway) attemptEnded(now balancer.Micros, a *attempt, status balancer.Status, report balancer.LoadReport) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	isWinner := r.winner == a
	if status == balancer.Served && !isWinner {
		status = balancer.Cancelled
	}
	if isWinner {
		r.finished = true
	}
	g.reportOutcome(now, a, status, report)
	if isWinner {
		outcome := OutcomeBroken
		if status == balancer.Served {
			outcome = OutcomeServed
		}
		g.sim.requestEnded(now, r, outcome, 0)
	}
	g.removeIfFinished(r)
}

// reportOutcome settles an attempt's charge and reports its outcome to the balancer.
func (g *gateway) reportOutcome(now balancer.Micros, a *attempt, status balancer.Status, report balancer.LoadReport) {
	r := a.request
	if charge := r.charges[a.index]; charge != nil {
		used := charge.ActualUsage(status, r.balancerRequest.PromptTokens, a.cachedTokens, a.outputTokens)
		g.recordedLedger.Settle(now, r.balancerRequest.ID, a.index, charge, used, status == balancer.Served)
		g.ledger.TakeNotices()
	}
	if !status.NeverRan() && status != balancer.Served {
		r.wastedAttempts++
		if r.counted && r.sentAt-startTime >= g.sim.spec.WarmUp { // counted here because the request ended before the attempt
			g.sim.result.Wasted++
		}
	}
	g.module.AttemptEnded(now, balancer.Outcome{
		ID:           r.balancerRequest.ID,
		Attempt:      a.index,
		Replica:      balancer.ReplicaID(a.host.index + 1),
		Status:       status,
		Elapsed:      now - a.sentAt,
		Final:        r.finished,
		CachedTokens: a.cachedTokens,
		OutputTokens: a.outputTokens,
		Report:       report,
	})
}

// Cancel implements balancer.Sink.
func (g *gateway) Cancel(id balancer.RequestID, index int) {
	r := g.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	a := r.attempts[index]
	if a == r.winner || a.ended {
		return
	}
	a.cancel()
	g.sim.engine.After(0, func(now balancer.Micros) { g.attemptEnded(now, a, balancer.Cancelled, balancer.LoadReport{}) })
}

// Shed implements balancer.Sink.
func (g *gateway) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	g.endUnserved(id, OutcomeShed, retryAfter)
}

// Fail implements balancer.Sink.
func (g *gateway) Fail(id balancer.RequestID) { g.endUnserved(id, OutcomeFailed, 0) }

// endUnserved ends a request that has no winner.
func (g *gateway) endUnserved(id balancer.RequestID, outcome string, retryAfter balancer.Micros) {
	r, now := g.requests[id], g.sim.engine.Now()
	if r == nil || r.finished || r.winner != nil {
		return
	}
	r.finished = true
	if g.recordedLedger != nil {
		g.recordedLedger.Settle(now, id, 0, &r.charge, contract.Usage{}, false)
		g.recordedLedger.RecordShed(now, &r.balancerRequest, r.estimatedUse, r.overQuota)
	}
	g.sim.requestEnded(now, r, outcome, retryAfter)
	g.sim.engine.After(0, func(balancer.Micros) { g.removeIfFinished(r) })
}
