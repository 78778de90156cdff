package balancer

import (
	"testing"
)

// A replica that leaves a gateway's subset with an attempt in flight and returns without a restart
// is not in slow start; one that has restarted is. Where lists name all replicas, a replica that
// was removed is assumed to have restarted.
func TestReplicaReturnsToTheSubset(t *testing.T) {
	for _, c := range []struct {
		fleet   int
		since   Micros
		warming bool
	}{{500, 50 * second, false}, {500, 104 * second, true}, {0, 50 * second, true}} {
		b, rec := startBalancer(t, largeFleetSettings(), fleet(40)...)
		b.fleetSize = c.fleet
		endpoint := Endpoint{Replica: 7, State: EndpointReady, Weight: 1, StartedAt: 50 * second, Zone: "a", Kind: "k"}
		setEndpoint := func(now Micros, state EndpointState, since Micros) {
			endpoint.State, endpoint.StartedAt = state, since
			b.ListChanged(now, EndpointList{Kind: ListOverride, FleetSize: c.fleet, Endpoints: []Endpoint{endpoint}})
		}
		setEndpoint(102*second, EndpointReady, 50*second)
		row := b.rowByID[7]
		row.warmingUntil = 0
		row.ledger = append(row.ledger, &attempt{row: row})
		rec.actions = nil
		setEndpoint(103*second, EndpointRemoved, 50*second)
		if b.rowByID[7] != row || row.state != EndpointRemoved {
			t.Fatal("with an attempt in flight the row must stay, as removed")
		}
		setEndpoint(105*second, EndpointReady, c.since)
		if got := 105*second < row.warmingUntil; got != c.warming {
			t.Errorf("%+v: warming %t", c, got)
		}
	}
}

// Where lists name a subset of the fleet, gatewaysPerReplica is the number of gateways that have a
// replica in their subset, and a request polls fewer replicas at higher request rates.
func TestSubsetOfTheFleet(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways = 1800
	b, _ := startBalancer(t, s, fleet(40)...)
	if n, drawn := b.pollLimit(); n != shortlistSize || !drawn || b.gatewaysPerReplica() != 1800 {
		t.Errorf("all listed: polls %d, random %t, %v gateways per replica", n, drawn, b.gatewaysPerReplica())
	}
	b.fleetSize, b.readyCount = 6000, 100
	if got := b.gatewaysPerReplica(); got != 30 {
		t.Errorf("%v gateways per replica, want 30", got)
	}
	for _, c := range []struct {
		rate         float64
		polls        int
		fewest, most int // bounds on random polls, of 400
	}{{1, 2, 400, 400}, {37, 1, 60, 140}} {
		b.dispatchRate, b.meanLifetime = c.rate, 3e6
		drawn := 0
		for range 400 {
			n, random := b.pollLimit()
			if n != c.polls {
				t.Fatalf("at %v requests a second %d polled, want %d", c.rate, n, c.polls)
			}
			drawn += int(boolToFloat(random))
		}
		if drawn < c.fewest || drawn > c.most {
			t.Errorf("at %v requests a second a random replica is polled in %d of 400", c.rate, drawn)
		}
	}
}
