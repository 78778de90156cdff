package balancer

import (
	"testing"
)

// A replica that leaves a gateway's subset with an attempt in flight, and comes back without a
// restart, is not in slow start for it; one that has restarted is. Where lists name all replicas,
// one that was gone is taken to have restarted.
func TestReplicaReturnsToTheSubset(t *testing.T) {
	for _, c := range []struct {
		fleet   int
		since   Micros
		warming bool
	}{{500, 50 * second, false}, {500, 104 * second, true}, {0, 50 * second, true}} {
		b, rec := startBalancer(t, largeFleetSettings(), fleet(40)...)
		b.fleetSize = c.fleet
		endpoint := Endpoint{Replica: 7, State: EndpointReady, Weight: 1, StartedAt: 50 * second, Zone: "a", Kind: "k"}
		tell := func(now Micros, state EndpointState, since Micros) {
			endpoint.State, endpoint.StartedAt = state, since
			b.ListChanged(now, EndpointList{Kind: ListOverride, FleetSize: c.fleet, Endpoints: []Endpoint{endpoint}})
		}
		tell(102*second, EndpointReady, 50*second)
		row := b.rowByID[7]
		row.warmingUntil = 0
		row.ledger = append(row.ledger, &attempt{row: row})
		rec.actions = nil
		tell(103*second, EndpointRemoved, 50*second)
		if b.rowByID[7] != row || row.state != EndpointRemoved {
			t.Fatal("with something out its row stays, and takes nothing")
		}
		tell(105*second, EndpointReady, c.since)
		if got := 105*second < row.warmingUntil; got != c.warming {
			t.Errorf("%+v: warming %t", c, got)
		}
	}
}

// Where lists are a subset of the fleet, as many gateways share a replica as have it in theirs, and
// a request polls fewer replicas the more of its subset the gateway hears of by itself.
func TestSubsetOfTheFleet(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways = 1800
	b, _ := startBalancer(t, s, fleet(40)...)
	if n, drawn := b.pollLimit(); n != shortlistSize || !drawn || b.gatewaysPerReplica() != 1800 {
		t.Errorf("all listed: asks %d, drawn %t, %v share a replica", n, drawn, b.gatewaysPerReplica())
	}
	b.fleetSize, b.readyCount = 6000, 100
	if got := b.gatewaysPerReplica(); got != 30 {
		t.Errorf("%v gateways share a replica, want 30", got)
	}
	for _, c := range []struct {
		rate         float64
		asks         int
		fewest, most int // random ones, of 400
	}{{1, 2, 400, 400}, {37, 1, 60, 140}} {
		b.dispatchRate, b.meanLifetime = c.rate, 3e6
		drawn := 0
		for range 400 {
			n, by := b.pollLimit()
			if n != c.asks {
				t.Fatalf("at %v requests a second %d polled, want %d", c.rate, n, c.asks)
			}
			drawn += int(boolToFloat(by))
		}
		if drawn < c.fewest || drawn > c.most {
			t.Errorf("at %v requests a second one is drawn in %d of 400", c.rate, drawn)
		}
	}
}
