package capturetrigger

import (
	"strings"
	"testing"

	"archknot/balancer"
)

const second balancer.Micros = 1_000_000

func newTestDetector(change func(*Settings)) *Detector {
	s := Settings{Window: 10 * second, MinRequests: 10, UnservedFraction: 0.4, SlowFactor: 2, SlowReplicaFraction: 0.8, DeadlineMargin: 2000}
	if change != nil {
		change(&s)
	}
	d := New(s, balancer.Settings{MaxAttempts: 3, Classes: []balancer.Class{{Name: "chat", LatencyObjective: second, Deadline: 4 * second}}})
	d.ListChanged(0, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: []balancer.Endpoint{{Replica: 1}, {Replica: 2}, {Replica: 3}}})
	return d
}

// serveRequest passes the events of one request to a detector: a replica serves it after the
// time took. It returns the reasons of the incidents.
func serveRequest(d *Detector, now balancer.Micros, id balancer.RequestID, to balancer.ReplicaID, took balancer.Micros) string {
	d.RequestArrived(now, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * second})
	reason := d.Dispatched(now, id, to)
	reason += d.FirstToken(now+took, balancer.Outcome{ID: id, Replica: to, Elapsed: took})
	reason += d.AttemptEnded(now+took+1, balancer.Outcome{ID: id, Replica: to, Status: balancer.Served, Final: true})
	return reason
}

func TestUnservedShare(t *testing.T) {
	d := newTestDetector(nil)
	id := balancer.RequestID(0)
	for i := range 20 {
		id++
		if reason := serveRequest(d, second+balancer.Micros(i)*1000, id, 1, 1000); reason != "" {
			t.Fatal(reason)
		}
	}
	triggered := 0
	for i := range 30 {
		id++
		now := 2*second + balancer.Micros(i)*1000
		d.RequestArrived(now, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * second})
		if reason := d.RequestFailed(now, id); reason != "" {
			triggered++
			if !strings.HasPrefix(reason, ReasonUnserved+": 14 of 34") {
				t.Error(reason)
			}
		}
	}
	if triggered != 1 {
		t.Errorf("triggered %d times", triggered)
	}
	// A window later the old outcomes are forgotten, and the condition may trigger again.
	for i := range 20 {
		id++
		if reason := serveRequest(d, 40*second+balancer.Micros(i)*1000, id, 1, 1000); reason != "" {
			t.Fatal(reason)
		}
	}
	for i := range 30 {
		id++
		d.RequestArrived(41*second, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * second})
		if d.ClientGone(41*second+balancer.Micros(i), id) != "" {
			triggered++
		}
	}
	if triggered != 2 {
		t.Errorf("triggered %d times", triggered)
	}
	if d.InFlight() != 0 {
		t.Errorf("%d in flight", d.InFlight())
	}
}

func TestAllReplicasSlow(t *testing.T) {
	d := newTestDetector(func(s *Settings) { s.UnservedFraction = 0 })
	id := balancer.RequestID(0)
	reason := ""
	for i := range 300 {
		id++
		reason += serveRequest(d, balancer.Micros(i)*second/10, id, balancer.ReplicaID(1+i%3), 100_000)
	}
	if reason != "" {
		t.Fatal(reason)
	}
	// One slow replica is not an incident; all replicas slow at once are.
	for i := range 30 {
		id++
		reason += serveRequest(d, 40*second+balancer.Micros(i)*second/10, id, 1, 400_000)
	}
	if reason != "" {
		t.Fatal(reason)
	}
	for i := range 60 {
		id++
		reason += serveRequest(d, 60*second+balancer.Micros(i)*second/10, id, balancer.ReplicaID(1+i%3), 400_000)
	}
	if strings.Count(reason, ReasonSlow) != 1 {
		t.Errorf("%q", reason)
	}
}

func TestRuleViolations(t *testing.T) {
	d := newTestDetector(nil)
	d.RequestArrived(0, balancer.Request{ID: 1, Class: "chat", TimeLeft: 4 * second})
	if reason := d.RequestFailed(4*second-1000, 1); !strings.HasPrefix(reason, ReasonNearDeadline) {
		t.Errorf("near: %q", reason)
	}
	d.ListChanged(second, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{{Replica: 2, State: balancer.EndpointDraining}}})
	d.RequestArrived(second, balancer.Request{ID: 2, Class: "chat", TimeLeft: 4 * second})
	if reason := d.Dispatched(second, 2, 2); !strings.HasPrefix(reason, ReasonDraining) {
		t.Errorf("draining: %q", reason)
	}
	var reason string
	for range 4 {
		reason += d.Dispatched(second, 2, 1)
	}
	if strings.Count(reason, ReasonAttempts+":") != 2 {
		t.Errorf("attempts: %q", reason)
	}
}
