package replay

import (
	"bytes"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// compareActions reports the differences between this build's actions for an event and the recorded ones. Actions are
// compared in order. An action whose kind does not occur in the remainder of the other list is reported as a difference
// from "nothing".
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

// differenceKinds maps kinds of actions to kinds of differences. An action that it lacks is of KindDiscovery.
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

// decisionReported reports whether a differing pick, admission or retry of this event has been reported. A differing
// dispatch is then its consequence and is not reported again.
func (p *player) decisionReported() bool {
	for _, d := range p.differences {
		if d.Kind == KindPick || d.Kind == KindAdmit || d.Kind == KindRetry {
			return true
		}
	}
	return false
}

// The following methods implement balancer.Sink: they collect this build's actions.

func (p *player) addAction(kind pb.Action_Kind, id balancer.RequestID, to balancer.ReplicaID, at balancer.Micros) *pb.Action {
	if p.ownCount == len(p.ownActions) {
		p.ownActions = append(p.ownActions, &pb.Action{})
	}
	a := p.ownActions[p.ownCount]
	p.ownCount++
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, uint32(id), uint32(to), at, 0, 0, nil
	return a
}

// Dispatch records the dispatch of an attempt.
func (p *player) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	p.addAction(pb.Action_DISPATCH, id, to, timeoutAt)
}

// Shed records that a request is shed.
func (p *player) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	p.addAction(pb.Action_REFUSE, id, 0, retryAfter)
}

// Fail records that a request is failed.
func (p *player) Fail(id balancer.RequestID) { p.addAction(pb.Action_FAIL, id, 0, 0) }

// Cancel records the cancellation of an attempt.
func (p *player) Cancel(id balancer.RequestID, attempt int) {
	p.addAction(pb.Action_CANCEL, id, 0, 0).Attempt = uint32(attempt)
}

// SetTimer records that a timer is set.
func (p *player) SetTimer(delay balancer.Micros, token uint64) {
	p.addAction(pb.Action_SET_TIMER, 0, 0, delay).Token = token
}

// HealthCheck records a health check of a replica.
func (p *player) HealthCheck(to balancer.ReplicaID) { p.addAction(pb.Action_PROBE, 0, to, 0) }

// Gossip records a message to the other gateways.
func (p *player) Gossip(body []byte) { p.addAction(pb.Action_TELL_PEERS, 0, 0, 0).Body = body }

// WatchDiscovery records the request to watch discovery.
func (p *player) WatchDiscovery() { p.addAction(pb.Action_WATCH_REGISTRY, 0, 0, 0) }
