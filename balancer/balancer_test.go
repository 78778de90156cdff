package balancer

import (
	"fmt"
	"strings"
	"testing"
)

// recordedAction is one call of a Sink method.
type recordedAction struct {
	kind    string
	id      RequestID
	to      ReplicaID
	attempt int
	delay   Micros
	token   uint64
	body    []byte
}

// recorder is a Sink that records the actions.
type recorder struct{ actions []recordedAction }

func (r *recorder) Dispatch(id RequestID, to ReplicaID, deadline Micros) {
	r.actions = append(r.actions, recordedAction{kind: "dispatch", id: id, to: to, delay: deadline})
}

func (r *recorder) Shed(id RequestID, after Micros) {
	r.actions = append(r.actions, recordedAction{kind: "shed", id: id, delay: after})
}

func (r *recorder) Fail(id RequestID) {
	r.actions = append(r.actions, recordedAction{kind: "fail", id: id})
}

func (r *recorder) Cancel(id RequestID, n int) {
	r.actions = append(r.actions, recordedAction{kind: "cancel", id: id, attempt: n})
}

func (r *recorder) SetTimer(d Micros, token uint64) {
	r.actions = append(r.actions, recordedAction{kind: "timer", delay: d, token: token})
}

func (r *recorder) HealthCheck(to ReplicaID) {
	r.actions = append(r.actions, recordedAction{kind: "health check", to: to})
}

func (r *recorder) Gossip(b []byte) {
	r.actions = append(r.actions, recordedAction{kind: "gossip", body: b})
}

func (r *recorder) WatchDiscovery() { r.actions = append(r.actions, recordedAction{kind: "watch"}) }

// take returns the recorded actions of one kind and clears all.
func (r *recorder) take(kind string) []recordedAction {
	var out []recordedAction
	for _, a := range r.actions {
		if a.kind == kind {
			out = append(out, a)
		}
	}
	r.actions = nil
	return out
}

// takeTimer returns the last recorded timer of a purpose, the zero value if there is none, and
// clears all actions.
func (r *recorder) takeTimer(purpose uint64) recordedAction {
	var last recordedAction
	for _, a := range r.take("timer") {
		if a.token&timerPurposeMask == purpose {
			last = a
		}
	}
	return last
}

const second Micros = 1_000_000

// settings returns the settings of a single gateway with a small fleet.
func settings() Settings {
	return Settings{
		Gateways: 1, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k"},
		Classes:      []Class{{Name: "chat", LatencyObjective: second, TokenObjective: 50_000, Deadline: 4 * second, PriorityWeight: 1, Streaming: true}},
		ReportSource: ReportInline, Tick: 4000, MayCancel: true, MayHedge: true, RetryAfter: true,
		MaxAttempts: 3, MaxRetryAfter: 2 * second, InitialCapacity: 0.12, OverloadMultiple: 4, SlowStartFor: 24 * second,
		OverloadWindow: 2 * second, StreamsPerConn: 1, ConnIdleTimeout: 30 * second,
	}
}

// startBalancer returns a Balancer that was started at 100 s with a list of the endpoints.
func startBalancer(t *testing.T, s Settings, endpoints ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	rec := &recorder{}
	b, err := New(s, 7, rec)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: endpoints})
	b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
	rec.actions = nil
	return b, rec
}

// fleet returns n ready replicas without a start time.
func fleet(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{Replica: ReplicaID(i + 1), Weight: 1, Kind: "k", Zone: "a", Cell: int64(i)})
	}
	return out
}

// testRequest returns a request without tenant, session and prefix.
func testRequest(id RequestID) Request {
	return Request{ID: id, Class: "chat", TimeLeft: 4 * second, PromptTokens: 1000, MaxTokens: 400}
}

// dispatched plays the arrival of a request and returns the replica to which it is sent; 0: none.
func dispatched(b *Balancer, rec *recorder, now Micros, r Request) ReplicaID {
	rec.actions = nil
	b.RequestArrived(now, r)
	if d := rec.take("dispatch"); len(d) > 0 {
		return d[0].to
	}
	return 0
}

// New returns an error for invalid settings and for a missing sink.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"self":     func(s *Settings) { s.Self = 1 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"deadline": func(s *Settings) { s.Classes = []Class{{Name: "x"}} },
		"start":    func(s *Settings) { s.InitialCapacity = 0 },
		"rules":    func(s *Settings) { s.OverloadWindow = -1 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.HasPrefix(err.Error(), "balancer: ") {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	if _, err := New(settings(), 1, nil); err == nil {
		t.Error("no error for a missing sink")
	}
}

func Example() {
	b, err := New(Settings{
		Gateways: 1, Zone: "a", MaxAttempts: 2, Tick: 1000,
		Classes: []Class{{Name: "chat", LatencyObjective: second, Deadline: 4 * second, PriorityWeight: 1, Streaming: true}},
	}, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := Micros(0)
	b.Start(now)
	b.ListChanged(now, EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: 7, Zone: "a"}}})
	b.RequestArrived(now, Request{ID: 1, Class: "chat", TimeLeft: 4 * second, PromptTokens: 900, MaxTokens: 100})
	b.AttemptEnded(now+second, Outcome{ID: 1, Replica: 7, Status: Served, Elapsed: second, Final: true})
	// Output: send request 1 to replica 7
}

// printer is a Sink that prints dispatches and ignores all other actions.
type printer struct{}

func (printer) Dispatch(id RequestID, to ReplicaID, _ Micros) {
	fmt.Printf("send request %d to replica %d\n", id, to)
}

func (printer) Shed(RequestID, Micros) {}

func (printer) Fail(RequestID) {}

func (printer) Cancel(RequestID, int) {}

func (printer) SetTimer(Micros, uint64) {}

func (printer) HealthCheck(ReplicaID) {}

func (printer) Gossip([]byte) {}

func (printer) WatchDiscovery() {}
