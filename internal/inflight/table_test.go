package inflight

import (
	"context"
	"testing"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
)

// A request stays in the table until it is finished and its last attempt has ended. A second end of the same attempt
// is ignored.
func TestRequestStaysUntilLastAttemptEnds(t *testing.T) {
	registry := endpoint.NewRegistry()
	list := httpwire.EndpointList{Endpoints: []httpwire.Endpoint{{ID: "r-1", Addr: "127.0.0.1:1", Lifecycle: "ready"}}}
	registry.Apply(list, balancer.ListFull, nil)
	replica := registry.ByName("r-1")

	table := NewTable()
	r := NewRequest(context.Background(), "c1", balancer.Request{}, 0, 3)
	table.Add(r)
	first := table.StartAttempt(r, replica, 1, 2)
	second := table.StartAttempt(r, replica, 1, 2)
	if second.Index != 1 || r.AttemptsInFlight() != 2 || replica.InFlight() != 2 {
		t.Errorf("index %d, %d attempts of the request and %d at the replica", second.Index, r.AttemptsInFlight(), replica.InFlight())
	}
	r.Finished = true
	if !table.FinishAttempt(first) || table.FinishAttempt(first) {
		t.Error("an attempt's end does not count exactly once")
	}
	if table.RemoveIfFinished(r); table.Get(r.ID) != r {
		t.Error("removed with an attempt in flight")
	}
	table.FinishAttempt(second)
	if table.RemoveIfFinished(r); table.Len() != 0 || replica.InFlight() != 0 {
		t.Errorf("%d requests in flight, %d attempts at the replica", table.Len(), replica.InFlight())
	}
}
