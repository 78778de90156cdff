package capturetrigger

import (
	"strings"
	"testing"

	"archknot/balancer"
)

const sec balancer.Micros = 1_000_000

func newTestDetector(change func(*Settings)) *Detector {
	s := Settings{Window: 10 * sec, MinRequests: 10, UnservedShare: 0.4, SlowFactor: 2, SlowReplicaShare: 0.8, DeadlineMargin: 2000}
	if change != nil {
		change(&s)
	}
	w := New(s, balancer.Settings{MaxAttempts: 3, Classes: []balancer.Class{{Name: "chat", LatencyObjective: sec, Deadline: 4 * sec}}})
	w.ListChanged(0, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: []balancer.Endpoint{{Replica: 1}, {Replica: 2}, {Replica: 3}}})
	return w
}

// serveRequest has one request answered after a time by a worker.
func serveRequest(w *Detector, now balancer.Micros, id balancer.RequestID, to balancer.ReplicaID, took balancer.Micros) string {
	w.RequestArrived(now, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * sec})
	why := w.Dispatched(now, id, to)
	why += w.FirstToken(now+took, balancer.Outcome{ID: id, Replica: to, Elapsed: took})
	why += w.AttemptEnded(now+took+1, balancer.Outcome{ID: id, Replica: to, Status: balancer.Served, Final: true})
	return why
}

func TestUnservedShare(t *testing.T) {
	w := newTestDetector(nil)
	id := balancer.RequestID(0)
	for i := range 20 {
		id++
		if why := serveRequest(w, sec+balancer.Micros(i)*1000, id, 1, 1000); why != "" {
			t.Fatal(why)
		}
	}
	told := 0
	for i := range 30 {
		id++
		now := 2*sec + balancer.Micros(i)*1000
		w.RequestArrived(now, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * sec})
		if why := w.RequestFailed(now, id); why != "" {
			told++
			if !strings.HasPrefix(why, ReasonUnserved+": 14 of 34") {
				t.Error(why)
			}
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
	// A span later what was is forgotten, and the condition may trigger again.
	for i := range 20 {
		id++
		if why := serveRequest(w, 40*sec+balancer.Micros(i)*1000, id, 1, 1000); why != "" {
			t.Fatal(why)
		}
	}
	for i := range 30 {
		id++
		w.RequestArrived(41*sec, balancer.Request{ID: id, Class: "chat", TimeLeft: 4 * sec})
		if w.ClientGone(41*sec+balancer.Micros(i), id) != "" {
			told++
		}
	}
	if told != 2 {
		t.Errorf("told %d times", told)
	}
	if w.InFlight() != 0 {
		t.Errorf("%d in hand", w.InFlight())
	}
}

func TestAllReplicasSlow(t *testing.T) {
	w := newTestDetector(func(s *Settings) { s.UnservedShare = 0 })
	id := balancer.RequestID(0)
	why := ""
	for i := range 300 {
		id++
		why += serveRequest(w, balancer.Micros(i)*sec/10, id, balancer.ReplicaID(1+i%3), 100_000)
	}
	if why != "" {
		t.Fatal(why)
	}
	// One slow worker is no incident, all of them are.
	for i := range 30 {
		id++
		why += serveRequest(w, 40*sec+balancer.Micros(i)*sec/10, id, 1, 400_000)
	}
	if why != "" {
		t.Fatal(why)
	}
	for i := range 60 {
		id++
		why += serveRequest(w, 60*sec+balancer.Micros(i)*sec/10, id, balancer.ReplicaID(1+i%3), 400_000)
	}
	if strings.Count(why, ReasonSlow) != 1 {
		t.Errorf("%q", why)
	}
}

func TestRuleViolations(t *testing.T) {
	w := newTestDetector(nil)
	w.RequestArrived(0, balancer.Request{ID: 1, Class: "chat", TimeLeft: 4 * sec})
	if why := w.RequestFailed(4*sec-1000, 1); !strings.HasPrefix(why, ReasonNearDeadline) {
		t.Errorf("near: %q", why)
	}
	w.ListChanged(sec, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{{Replica: 2, State: balancer.EndpointDraining}}})
	w.RequestArrived(sec, balancer.Request{ID: 2, Class: "chat", TimeLeft: 4 * sec})
	if why := w.Dispatched(sec, 2, 2); !strings.HasPrefix(why, ReasonDraining) {
		t.Errorf("draining: %q", why)
	}
	var why string
	for range 4 {
		why += w.Dispatched(sec, 2, 1)
	}
	if strings.Count(why, ReasonAttempts+":") != 2 {
		t.Errorf("attempts: %q", why)
	}
}
