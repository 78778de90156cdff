package replay

import (
	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// The methods below implement balancer.Interceptor. They keep the module in step with the recording: where this build's
// decision differs, they report the difference and return the recorded decision.

// recordedDispatch returns the index of the event's first recorded dispatch of a request that no decision of this build
// has matched yet; -1 if there is none.
func (p *player) recordedDispatch(id balancer.RequestID) int {
	for i, a := range p.record.Actions {
		if a.Kind == pb.Action_DISPATCH && a.Request == uint32(id) && !p.usedActions[i] {
			return i
		}
	}
	return -1
}

// Admit compares whether a request is admitted. It does not report a request that only this build admits: Pick does,
// when it finds no recorded dispatch.
func (p *player) Admit(id balancer.RequestID, own bool) bool {
	p.result.Decisions++
	if !own && p.recordedDispatch(id) >= 0 {
		p.addDifference(KindAdmit, uint32(id), 0, "turned away", "let in", nil)
		return true
	}
	return own
}

// Retry compares whether a request gets another attempt.
func (p *player) Retry(id balancer.RequestID, own bool) bool {
	p.result.Decisions++
	if !own && p.recordedDispatch(id) >= 0 {
		p.addDifference(KindRetry, uint32(id), 0, "no further attempt", "a further attempt", nil)
		return true
	}
	return own
}

// Pick compares which replica is chosen; found is false if this build finds no replica. It returns the recorded choice.
func (p *player) Pick(id balancer.RequestID, own balancer.ReplicaID, found bool, scores []balancer.ScoreBreakdown) (balancer.ReplicaID, bool) {
	p.result.Decisions++
	var pick *Pick
	newPick := func() *Pick {
		if pick == nil {
			pick = p.newPick(id, own, found, scores)
		}
		return pick
	}
	if p.options.Explain != nil && p.options.Explain(p.names, p.record) {
		p.picks = append(p.picks, *newPick())
	}
	i := p.recordedDispatch(id)
	if i < 0 {
		if found {
			p.addDifference(KindPick, uint32(id), 0, p.describePick(own, true), p.describePick(0, false), p.pickIfFirst(newPick))
		}
		return 0, false
	}
	p.usedActions[i] = true
	recorded := balancer.ReplicaID(p.record.Actions[i].Worker)
	if !found || own != recorded {
		p.addDifference(KindPick, uint32(id), uint32(recorded), p.describePick(own, found), p.describePick(recorded, true), p.pickIfFirst(newPick))
	}
	return recorded, true
}

func (p *player) describePick(id balancer.ReplicaID, found bool) string {
	if !found {
		return "no worker"
	}
	return p.names.Replica(uint32(id))
}

// pickIfFirst returns the pick for the run's first differing choice and nil for later ones, since the scores of a pick
// take much memory.
func (p *player) pickIfFirst(newPick func() *Pick) *Pick {
	if p.firstPickReported {
		return nil
	}
	p.firstPickReported = true
	return newPick()
}

func (p *player) newPick(id balancer.RequestID, own balancer.ReplicaID, found bool, scores []balancer.ScoreBreakdown) *Pick {
	pick := &Pick{Request: id, Chosen: own, Found: found, Scores: append([]balancer.ScoreBreakdown(nil), scores...)}
	candidates := map[balancer.ReplicaID]bool{}
	for _, s := range scores {
		candidates[s.Replica] = true
	}
	for _, endpoint := range p.balancer.Endpoints() {
		if !candidates[endpoint.Replica] {
			reason := p.balancer.ExclusionReason(p.now, id, endpoint.Replica)
			pick.Excluded = append(pick.Excluded, Excluded{endpoint.Replica, reason})
		}
	}
	return pick
}
