package capture

import (
	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// The methods of this file implement balancer.Sink. Each adds an action of the module to the record of the current
// call and forwards the action to the recorder's sink.

// addAction adds an action to the record of the current call and returns it for the caller to fill in. It returns nil
// if the call is not recorded.
func (r *Recorder) addAction(kind pb.Action_Kind) *pb.Action {
	if !r.recording {
		if r.gap != nil {
			r.gap.actions++
		}
		return nil
	}
	n := len(r.current.Actions)
	if n == len(r.actions) {
		r.actions = append(r.actions, &pb.Action{})
	}
	a := r.actions[n]
	r.current.Actions = r.actions[:n+1]
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, 0, 0, 0, 0, 0, nil
	return a
}

// Dispatch records and forwards the dispatch of an attempt.
func (r *Recorder) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	if a := r.addAction(pb.Action_DISPATCH); a != nil {
		a.Request, a.Worker, a.AtUs = uint32(id), uint32(to), timeoutAt
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.Dispatched(r.now, id, to))
	}
	r.sink.Dispatch(id, to, timeoutAt)
}

// Shed records and forwards the module's decision to shed a request.
func (r *Recorder) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	if a := r.addAction(pb.Action_REFUSE); a != nil {
		a.Request, a.AtUs = uint32(id), retryAfter
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.RequestFailed(r.now, id))
	}
	r.sink.Shed(id, retryAfter)
}

// Fail records and forwards the module's decision to fail a request.
func (r *Recorder) Fail(id balancer.RequestID) {
	if a := r.addAction(pb.Action_FAIL); a != nil {
		a.Request = uint32(id)
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.RequestFailed(r.now, id))
	}
	r.sink.Fail(id)
}

// Cancel records and forwards the cancellation of an attempt.
func (r *Recorder) Cancel(id balancer.RequestID, attempt int) {
	if a := r.addAction(pb.Action_CANCEL); a != nil {
		a.Request, a.Attempt = uint32(id), uint32(attempt)
	}
	r.sink.Cancel(id, attempt)
}

// SetTimer records and forwards the setting of a timer.
func (r *Recorder) SetTimer(delay balancer.Micros, token uint64) {
	if a := r.addAction(pb.Action_SET_TIMER); a != nil {
		a.AtUs, a.Token = delay, token
	}
	r.sink.SetTimer(delay, token)
}

// HealthCheck records and forwards a health check that the module starts.
func (r *Recorder) HealthCheck(to balancer.ReplicaID) {
	if a := r.addAction(pb.Action_PROBE); a != nil {
		a.Worker = uint32(to)
	}
	r.sink.HealthCheck(to)
}

// Gossip records and forwards a message to the other gateways.
func (r *Recorder) Gossip(body []byte) {
	if a := r.addAction(pb.Action_TELL_PEERS); a != nil {
		a.Body = body
	}
	r.sink.Gossip(body)
}

// WatchDiscovery records and forwards the module's request to watch discovery.
func (r *Recorder) WatchDiscovery() {
	r.addAction(pb.Action_WATCH_REGISTRY)
	r.sink.WatchDiscovery()
}
