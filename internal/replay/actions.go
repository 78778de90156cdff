package replay

import (
	"bytes"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// compareActions reports how the actions differ once the module is in step. Actions are compared in order; one whose
// kind does not follow on the other side is different from nothing.
func (p *player) compareActions(own, recorded []*pb.Action) {
	for i, j := 0, 0; i < len(own) || j < len(recorded); {
		switch {
		case i < len(own) && j < len(recorded) && own[i].Kind == recorded[j].Kind:
			if !sameAction(own[i], recorded[j]) {
				p.addActionDifference(own[i], recorded[j])
			}
			i, j = i+1, j+1
		case j == len(recorded) || i < len(own) && indexOfKind(recorded[j:], own[i].Kind) < 0:
			p.addActionDifference(own[i], nil)
			i++
		default:
			p.addActionDifference(nil, recorded[j])
			j++
		}
	}
}

func indexOfKind(list []*pb.Action, k pb.Action_Kind) int {
	for i, a := range list {
		if a.Kind == k {
			return i
		}
	}
	return -1
}

func sameAction(a, b *pb.Action) bool {
	return a.Kind == b.Kind && a.Request == b.Request && a.Worker == b.Worker && a.AtUs == b.AtUs && a.Attempt == b.Attempt &&
		a.Token == b.Token && bytes.Equal(a.Body, b.Body)
}

// differenceKinds are the kinds of differences between actions. The other actions are of KindDiscovery.
var differenceKinds = map[pb.Action_Kind]string{
	pb.Action_DISPATCH:  KindPick,
	pb.Action_REFUSE:    KindAnswer,
	pb.Action_FAIL:      KindAnswer,
	pb.Action_CANCEL:    KindCancel,
	pb.Action_SET_TIMER: KindTimer,
	pb.Action_PROBE:     KindHealthCheck,
}

// addActionDifference adds the difference between two actions, one of which may be nil.
func (p *player) addActionDifference(own, recorded *pb.Action) {
	either, ownText, recordedText := own, "nothing", "nothing"
	if own != nil {
		ownText = p.names.DescribeAction(own)
	}
	if recorded != nil {
		either, recordedText = recorded, p.names.DescribeAction(recorded)
	}
	kind := actionDifferenceKind(either, own, recorded)
	if kind == KindPick && p.decisionReported() {
		return
	}
	request := either.Request
	if either.Kind == pb.Action_SET_TIMER {
		_, id := balancer.TimerPurpose(either.Token)
		request = uint32(id)
	}
	p.addDifference(kind, request, either.Worker, ownText, recordedText, nil)
}

// actionDifferenceKind returns the kind of the difference between two actions; either is the one that is not nil.
func actionDifferenceKind(either, own, recorded *pb.Action) string {
	kind, ok := differenceKinds[either.Kind]
	if !ok {
		return KindDiscovery
	}
	both := own != nil && recorded != nil
	switch {
	case both && own.Request == recorded.Request && either.Kind == pb.Action_REFUSE:
		return KindRetryAfter
	case both && own.Worker == recorded.Worker && either.Kind == pb.Action_DISPATCH:
		return KindCutoff
	}
	return kind
}

// decisionReported reports whether a different decision of this event is reported, which explains a different dispatch.
func (p *player) decisionReported() bool {
	for _, d := range p.differences {
		if d.Kind == KindPick || d.Kind == KindAdmit || d.Kind == KindRetry {
			return true
		}
	}
	return false
}

// The balancer.Sink that a player is: it collects this build's actions.

func (p *player) addAction(kind pb.Action_Kind, id balancer.RequestID, to balancer.ReplicaID, at balancer.Micros) *pb.Action {
	if p.ownCount == len(p.ownActions) {
		p.ownActions = append(p.ownActions, &pb.Action{})
	}
	a := p.ownActions[p.ownCount]
	p.ownCount++
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, uint32(id), uint32(to), at, 0, 0, nil
	return a
}

// Dispatch collects a dispatch.
func (p *player) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	p.addAction(pb.Action_DISPATCH, id, to, timeoutAt)
}

// Shed collects the shedding of a request.
func (p *player) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	p.addAction(pb.Action_REFUSE, id, 0, retryAfter)
}

// Fail collects the failing of a request.
func (p *player) Fail(id balancer.RequestID) { p.addAction(pb.Action_FAIL, id, 0, 0) }

// Cancel collects the cancelling of an attempt.
func (p *player) Cancel(id balancer.RequestID, attempt int) {
	p.addAction(pb.Action_CANCEL, id, 0, 0).Attempt = uint32(attempt)
}

// SetTimer collects the setting of a timer.
func (p *player) SetTimer(delay balancer.Micros, token uint64) {
	p.addAction(pb.Action_SET_TIMER, 0, 0, delay).Token = token
}

// HealthCheck collects a health check.
func (p *player) HealthCheck(to balancer.ReplicaID) { p.addAction(pb.Action_PROBE, 0, to, 0) }

// Gossip collects a message to other gateways.
func (p *player) Gossip(body []byte) { p.addAction(pb.Action_TELL_PEERS, 0, 0, 0).Body = body }

// WatchDiscovery collects the order to watch discovery.
func (p *player) WatchDiscovery() { p.addAction(pb.Action_WATCH_REGISTRY, 0, 0, 0) }
