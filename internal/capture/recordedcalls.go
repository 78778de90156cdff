package capture

import (
	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// The methods of this file implement Module. Each records a call, with the actions that the module takes during it,
// and forwards the call to the module.

// Start records and forwards the start of the module.
func (r *Recorder) Start(now balancer.Micros) {
	recorded := r.beginRecord(now, pb.Kind_KIND_START)
	r.balancer.Start(now)
	r.endRecord(recorded)
}

// ListChanged records and forwards an endpoint list.
func (r *Recorder) ListChanged(now balancer.Micros, l balancer.EndpointList) {
	recorded := r.beginRecord(now, pb.Kind_KIND_LIST)
	if recorded {
		r.current.List = endpointListToProto(&l, r.host.ReplicaName)
	}
	if r.incidentDetector != nil {
		r.incidentDetector.ListChanged(now, l)
	}
	r.balancer.ListChanged(now, l)
	r.endRecord(recorded)
}

// RequestArrived records and forwards an arriving request.
func (r *Recorder) RequestArrived(now balancer.Micros, in balancer.Request) {
	recorded := r.beginRecord(now, pb.Kind_KIND_ARRIVED)
	if recorded {
		r.current.Request = uint32(in.ID)
		r.current.Arrival = arrivalToProto(&r.arrival, &in, r.host.RequestName(in.ID))
	}
	if r.incidentDetector != nil {
		r.incidentDetector.RequestArrived(now, in)
	}
	r.balancer.RequestArrived(now, in)
	r.endRecord(recorded)
}

// FirstToken records and forwards the first token of an attempt.
func (r *Recorder) FirstToken(now balancer.Micros, o balancer.Outcome) {
	recorded := r.beginRecord(now, pb.Kind_KIND_FIRST)
	if recorded {
		r.current.Request, r.current.Outcome = uint32(o.ID), outcomeToProto(&r.outcome, &r.report, &o)
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.FirstToken(now, o))
	}
	r.balancer.FirstToken(now, o)
	r.endRecord(recorded)
}

// AttemptEnded records and forwards the end of an attempt.
func (r *Recorder) AttemptEnded(now balancer.Micros, o balancer.Outcome) {
	recorded := r.beginRecord(now, pb.Kind_KIND_ENDED)
	if recorded {
		r.current.Request, r.current.Outcome = uint32(o.ID), outcomeToProto(&r.outcome, &r.report, &o)
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.AttemptEnded(now, o))
	}
	r.balancer.AttemptEnded(now, o)
	r.endRecord(recorded)
}

// ClientGone records and forwards the disconnection of a request's client.
func (r *Recorder) ClientGone(now balancer.Micros, id balancer.RequestID) {
	recorded := r.beginRecord(now, pb.Kind_KIND_LEFT)
	if recorded {
		r.current.Request = uint32(id)
	}
	if r.incidentDetector != nil {
		r.setPendingIncident(r.incidentDetector.ClientGone(now, id))
	}
	r.balancer.ClientGone(now, id)
	r.endRecord(recorded)
}

// TimerFired records and forwards the expiry of a timer.
func (r *Recorder) TimerFired(now balancer.Micros, token uint64) {
	r.firingTimer = &Timer{now, token}
	recorded := r.beginRecord(now, pb.Kind_KIND_TIMER)
	r.firingTimer = nil
	if recorded {
		r.current.Token = token
	}
	r.balancer.TimerFired(now, token)
	r.endRecord(recorded)
}

// HealthCheckEnded records and forwards the result of a health check.
func (r *Recorder) HealthCheckEnded(now balancer.Micros, o balancer.Outcome) {
	recorded := r.beginRecord(now, pb.Kind_KIND_PROBED)
	if recorded {
		r.current.Outcome = outcomeToProto(&r.outcome, &r.report, &o)
	}
	r.balancer.HealthCheckEnded(now, o)
	r.endRecord(recorded)
}

// PeerMessage records and forwards a message from another gateway.
func (r *Recorder) PeerMessage(now balancer.Micros, from int, body []byte) {
	recorded := r.beginRecord(now, pb.Kind_KIND_MESSAGE)
	if recorded {
		r.current.Peer, r.current.Body = uint32(from), body
	}
	r.balancer.PeerMessage(now, from, body)
	r.endRecord(recorded)
}

// Reconfigure records and forwards new settings. An error is the module's, which then keeps its settings.
func (r *Recorder) Reconfigure(now balancer.Micros, s balancer.Settings) error {
	recorded := r.beginRecord(now, pb.Kind_KIND_RECONFIGURE)
	if recorded {
		r.current.Settings = marshalSettings(&s)
	}
	err := r.balancer.Reconfigure(now, s)
	if err == nil {
		r.settingsChanged = true
		if r.incidentDetector != nil {
			r.incidentDetector.Reconfigured(s)
		}
	}
	r.endRecord(recorded)
	return err
}

// setPendingIncident stores the reason of the first incident detected during a call, until the call is recorded completely.
// An incident that is detected during a gap is ignored.
func (r *Recorder) setPendingIncident(reason string) {
	if reason != "" && r.pendingIncident == "" && r.gap == nil {
		r.pendingIncident = reason
	}
}
