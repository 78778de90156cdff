package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

// noPrefixStats are the statistics of a balancer that has received no prefix.
type noPrefixStats struct{}

func (noPrefixStats) PrefixShare(uint64) float64 { return 0 }

const second balancer.Micros = 1_000_000

// zonedEndpoints returns ready replicas, counts[i] of them in zone i, with IDs that are hashes of first,
// first+1 and so on.
func zonedEndpoints(first int, counts ...int) (out []balancer.Endpoint) {
	for zone, n := range counts {
		for range n {
			out = append(out, balancer.Endpoint{Replica: balancer.ReplicaID(mix64(uint64(first))), State: balancer.EndpointReady, Weight: 1,
				Zone: fmt.Sprint("z", zone), Kind: "k", StartedAt: 5})
			first++
		}
	}
	return out
}

// evenCounts returns a list with the same count for each zone.
func evenCounts(zones, each int) []int {
	return slices.Repeat([]int{each}, zones)
}

// fullList returns a complete list from discovery.
func fullList(fleet []balancer.Endpoint) balancer.EndpointList {
	return balancer.EndpointList{Kind: balancer.ListFull, Endpoints: fleet}
}

// testSettings returns the settings of a gateway in a zone.
func testSettings(maxReplicas, index int, zone string) Settings {
	return Settings{MaxReplicas: maxReplicas, GatewayIndex: index, Zone: zone, RemoteFraction: DefaultRemoteFraction, SlowStart: 9 * second}
}

func readyIDs(list balancer.EndpointList) map[balancer.ReplicaID]bool {
	out := map[balancer.ReplicaID]bool{}
	for _, e := range list.Endpoints {
		if e.State == balancer.EndpointReady {
			out[e.Replica] = true
		}
	}
	return out
}

// applyAnnounced applies a list from a Selector to the endpoints announced before, as the balancer does.
func applyAnnounced(announced map[balancer.ReplicaID]balancer.Endpoint, list balancer.EndpointList) {
	if list.Kind.Complete() {
		clear(announced)
	}
	for _, e := range list.Endpoints {
		if e.State == balancer.EndpointRemoved {
			delete(announced, e.Replica)
		} else {
			announced[e.Replica] = e
		}
	}
}

// A list within the size limit passes unchanged.
func TestListsUpToTheLimitPassComplete(t *testing.T) {
	for _, n := range []int{0, 1, 99, 128} {
		list := fullList(zonedEndpoints(0, n))
		selector := NewSelector(testSettings(128, 3, "z0"), noPrefixStats{})
		got := selector.Apply(second, list)
		if len(got.Endpoints) != n || got.FleetSize != 0 || n > 0 && &got.Endpoints[0] != &list.Endpoints[0] {
			t.Errorf("%d replicas: %d announced, fleet %d", n, len(got.Endpoints), got.FleetSize)
		}
		request := balancer.Request{Session: 7, Prefix: 8}
		if _, changed := selector.AssignAffinityTarget(second, &request); changed || request.AffinityTarget != 0 {
			t.Errorf("%d replicas: an affinity target for a complete list", n)
		}
	}
	list := fullList(zonedEndpoints(0, 5000))
	if got := NewSelector(testSettings(0, 3, "z0"), noPrefixStats{}).Apply(second, list); len(got.Endpoints) != 5000 {
		t.Error("no size limit, and an incomplete list")
	}
}

// Every replica is in about as many subsets as any other, for several assignments of gateway indexes to zones.
func TestReplicasAreInEquallyManySubsets(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		counts   []int
		zoneOf   func(i, zones int) int
	}{
		{"one zone", 1800, []int{6000}, func(i, _ int) int { return 0 }},
		{"one zone, 1200", 360, []int{1200}, func(i, _ int) int { return 0 }},
		{"one zone, 600", 180, []int{600}, func(i, _ int) int { return 0 }},
		{"three zones in turn", 1800, evenCounts(3, 2000), func(i, z int) int { return i % z }},
		{"eighteen zones in turn", 1800, evenCounts(18, 333), func(i, z int) int { return i % z }},
		{"eighteen zones in runs", 1800, evenCounts(18, 333), func(i, z int) int { return i / 100 }},
		{"uneven zones", 1800, []int{600, 300, 900, 1200, 450, 150, 700, 800, 900}, func(i, z int) int { return i % z }},
	} {
		fleet := zonedEndpoints(0, c.counts...)
		subsets := map[balancer.ReplicaID]int{}
		sizes, smallest, greatest := 0, math.MaxInt, 0
		var replicas []*replica
		for _, e := range fleet {
			replicas = append(replicas, newReplica(e))
		}
		for i := range c.gateways {
			s := testSettings(128, i, fmt.Sprint("z", c.zoneOf(i, len(c.counts))))
			s.GatewayCount = c.gateways
			_, n := s.selectSubset(replicas)
			for _, r := range replicas {
				if r.selected {
					subsets[r.Replica]++
				}
			}
			sizes, smallest, greatest = sizes+n, min(smallest, n), max(greatest, n)
		}
		mean, largest := float64(sizes)/float64(len(fleet)), 0
		for _, n := range subsets {
			largest = max(largest, n)
		}
		t.Logf("%s: subsets of %d to %d, %.1f gateways per replica, largest over mean %.3f", c.name, smallest, greatest, mean, float64(largest)/mean)
		if float64(largest)/mean > 1.25 || len(subsets) != len(fleet) || greatest > 128 || smallest < 51 {
			t.Errorf("%s: largest over mean %.3f, %d of %d replicas in use", c.name, float64(largest)/mean, len(subsets), len(fleet))
		}
	}
}

// Replacing one replica changes the subset only by that replica. Replacing a third of the fleet at once removes
// no other replica from the subset.
func TestReplacedReplicasMoveNothingElse(t *testing.T) {
	fleet := zonedEndpoints(0, evenCounts(6, 1000)...)
	for index := range 60 {
		selector := NewSelector(testSettings(128, index, fmt.Sprint("z", index%6)), noPrefixStats{})
		before := readyIDs(selector.Apply(second, fullList(fleet)))
		next := slices.Clone(fleet)
		next[index*7] = zonedEndpoints(90_000+index, 1)[0]
		next[index*7].Zone = fleet[index*7].Zone
		after := readyIDs(selector.Apply(2*second, fullList(next)))
		for id := range before {
			if !after[id] && id != fleet[index*7].Replica {
				t.Fatalf("gateway %d: another replica has left the subset", index)
			}
		}
		for id := range after {
			if !before[id] && id != next[index*7].Replica {
				t.Fatalf("gateway %d: another replica has joined the subset", index)
			}
		}
		third := slices.Clone(fleet)
		for i := 0; i < len(third); i += 3 {
			third[i] = zonedEndpoints(100_000+i, 1)[0]
			third[i].Zone = fleet[i].Zone
		}
		after, stayed := readyIDs(selector.Apply(3*second, fullList(third))), 0
		for i, e := range fleet {
			if i%3 != 0 && before[e.Replica] {
				if stayed++; !after[e.Replica] {
					t.Fatalf("gateway %d: a replica that was not replaced has left", index)
				}
			}
		}
		if stayed < 30 {
			t.Fatalf("gateway %d: %d stayed", index, stayed)
		}
	}
}

// If all replicas of a gateway's subset become unavailable, the list that reports it announces others.
func TestUnavailableReplicasAreReplaced(t *testing.T) {
	fleet := zonedEndpoints(0, evenCounts(3, 500)...)
	for _, state := range []balancer.EndpointState{balancer.EndpointDraining, balancer.EndpointRemoved} {
		selector := NewSelector(testSettings(128, 11, "z1"), noPrefixStats{})
		first := selector.Apply(second, fullList(fleet))
		announced := map[balancer.ReplicaID]balancer.Endpoint{}
		applyAnnounced(announced, first)
		change := balancer.EndpointList{Kind: balancer.ListDelta}
		for _, e := range first.Endpoints {
			e.State = state
			change.Endpoints = append(change.Endpoints, e)
		}
		applyAnnounced(announced, selector.Apply(2*second, change))
		ready := 0
		for _, e := range announced {
			if e.State == balancer.EndpointReady {
				ready++
			}
		}
		if ready < 51 || ready > 128 {
			t.Errorf("state %d: %d other replicas announced", state, ready)
		}
	}
	// After the loss of a zone its gateways use other zones. After its return with replicas that are warming up,
	// they use the same replicas as before.
	for index := range 30 {
		selector := NewSelector(testSettings(128, index, "z1"), noPrefixStats{})
		before := readyIDs(selector.Apply(second, fullList(fleet)))
		lost := slices.DeleteFunc(slices.Clone(fleet), func(e balancer.Endpoint) bool { return e.Zone == "z1" })
		if got := readyIDs(selector.Apply(2*second, fullList(lost))); len(got) < 51 {
			t.Errorf("gateway %d: %d replicas without its zone", index, len(got))
		}
		back := slices.Clone(fleet)
		for i := range back {
			if back[i].Zone == "z1" {
				back[i].StartedAt = 8 * second
			}
		}
		got := selector.Apply(9*second, fullList(back))
		for _, e := range got.Endpoints {
			if e.Zone == "z1" && e.StartedAt != 8*second || !before[e.Replica] {
				t.Fatalf("gateway %d: after the zone's return %+v", index, e)
			}
		}
		request := balancer.Request{Session: uint64(index) + 1}
		if selector.AssignAffinityTarget(9*second, &request); request.AffinityTarget != 0 && slices.ContainsFunc(back, func(e balancer.Endpoint) bool { return e.Replica == request.AffinityTarget && e.Zone == "z1" }) {
			t.Errorf("gateway %d: the affinity target is warming up", index)
		}
	}
}

// While a list shrinks below the size limit and grows over it again, the subset is announced to the balancer,
// and never a removed replica.
func TestListsShrinkAndGrow(t *testing.T) {
	fleet := zonedEndpoints(0, 400)
	selector := NewSelector(testSettings(128, 5, "z0"), noPrefixStats{})
	announced := map[balancer.ReplicaID]balancer.Endpoint{}
	applyAnnounced(announced, selector.Apply(second, fullList(fleet[:100])))
	for step, n := range []int{400, 129, 128, 1, 0, 300, 128, 129} {
		change := balancer.EndpointList{Kind: balancer.ListDelta}
		for i, e := range fleet {
			if i >= n {
				e.State = balancer.EndpointRemoved
			}
			change.Endpoints = append(change.Endpoints, e)
		}
		list := change
		if step%2 == 0 {
			list = fullList(fleet[:n])
		}
		applyAnnounced(announced, selector.Apply(balancer.Micros(step+2)*second, list))
		for id := range announced {
			if !slices.ContainsFunc(fleet[:n], func(e balancer.Endpoint) bool { return e.Replica == id }) {
				t.Fatalf("step %d: a removed replica is announced", step)
			}
		}
		if n <= 128 && len(announced) != n || n > 128 && (len(announced) < 51 || len(announced) > 128) {
			t.Errorf("step %d: %d of %d", step, len(announced), n)
		}
	}
}

// A replica with twice the weight is in twice as many subsets, and a weight of 0 is unknown and counts as 1.
// If weights are load and not size, a change of weights changes no subset.
func TestWeights(t *testing.T) {
	fleet := zonedEndpoints(0, 3000)
	for i := range fleet {
		fleet[i].Weight = []float64{0, 1, 2}[i%3]
	}
	counts := [3]int{}
	for index := range 200 {
		s := testSettings(128, index, "z0")
		s.WeightIsSize = true
		got := readyIDs(NewSelector(s, noPrefixStats{}).Apply(second, fullList(fleet)))
		for i, e := range fleet {
			if got[e.Replica] {
				counts[i%3]++
			}
		}
	}
	for i, want := range []float64{1, 1, 2} {
		if got := float64(counts[i]) / float64(counts[0]); math.Abs(got-want) > 0.1 {
			t.Errorf("weight %d: in %.2f times as many subsets, want %v", i, got, want)
		}
	}
	selector := NewSelector(testSettings(128, 1, "z0"), noPrefixStats{})
	before := readyIDs(selector.Apply(second, fullList(fleet)))
	for i := range fleet {
		fleet[i].Weight = float64(i % 7)
	}
	after := selector.Apply(2*second, fullList(fleet))
	for id := range readyIDs(after) {
		if !before[id] {
			t.Fatal("a change of load has changed the subset")
		}
	}
}

// All gateways of a zone assign a session the same affinity target, whatever their subsets, and a prefix has
// few targets. A target outside the subset is announced before it is used, within the limit on such targets.
func TestGatewaysAgreeOnAffinityTargets(t *testing.T) {
	fleet := zonedEndpoints(0, evenCounts(4, 400)...)
	targets := map[uint64]balancer.ReplicaID{}
	targetsByPrefix := map[uint64]map[balancer.ReplicaID]bool{}
	for _, index := range []int{1, 5, 9, 413} {
		selector := NewSelector(testSettings(128, index, "z1"), noPrefixStats{})
		announced := map[balancer.ReplicaID]balancer.Endpoint{}
		applyAnnounced(announced, selector.Apply(20*second, fullList(fleet)))
		for session := range uint64(600) {
			request := balancer.Request{Session: session + 1, Prefix: session%40 + 1}
			list, changed := selector.AssignAffinityTarget(20*second, &request)
			if changed {
				applyAnnounced(announced, list)
			}
			if request.AffinityTarget == 0 {
				t.Fatalf("gateway %d, session %d: no affinity target", index, session)
			}
			if _, known := announced[request.AffinityTarget]; !known || len(announced) > 128+64 {
				t.Fatalf("gateway %d, session %d: target announced %t; %d announced", index, session, known, len(announced))
			}
			if target, ok := targets[session]; ok && target != request.AffinityTarget {
				t.Fatalf("gateway %d, session %d: another affinity target", index, session)
			}
			targets[session] = request.AffinityTarget
			if targetsByPrefix[request.Prefix] == nil {
				targetsByPrefix[request.Prefix] = map[balancer.ReplicaID]bool{}
			}
			targetsByPrefix[request.Prefix][request.AffinityTarget] = true
		}
	}
	for prefix, at := range targetsByPrefix {
		if len(at) > 3*minPrefixTargets {
			t.Errorf("prefix %d has %d targets", prefix, len(at))
		}
	}
}

// For random fleets and sequences of lists, the subset is within its limits, agrees with the last list, does
// not depend on earlier lists, and has enough ready replicas.
func TestSubsetsOfRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxReplicas := rapid.IntRange(1, 150).Draw(t, "maxReplicas")
		s := Settings{MaxReplicas: maxReplicas, GatewayIndex: rapid.IntRange(0, 5000).Draw(t, "index"), RemoteFraction: rapid.Float64Range(0, 1).Draw(t, "remote"),
			Zone: rapid.SampledFrom([]string{"z0", "z1", "z9", ""}).Draw(t, "zone"), WeightIsSize: rapid.Bool().Draw(t, "weighted"), SlowStart: 9 * second}
		counts := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 5).Draw(t, "zones")
		all := zonedEndpoints(0, counts...)
		listed := map[balancer.ReplicaID]balancer.Endpoint{}
		selector := NewSelector(s, noPrefixStats{})
		announced := map[balancer.ReplicaID]balancer.Endpoint{}
		for step := range rapid.IntRange(1, 6).Draw(t, "lists") {
			now := balancer.Micros(step+1) * second
			list := balancer.EndpointList{Kind: rapid.SampledFrom([]balancer.ListKind{balancer.ListFull, balancer.ListDelta, balancer.ListOverride, balancer.ListCached}).Draw(t, "kind")}
			if list.Kind.Complete() {
				clear(listed)
			}
			seed := rapid.Uint64().Draw(t, "states")
			for i, e := range all {
				switch mix64(seed+uint64(i)) % 6 {
				case 0:
					continue // not on this list
				case 1:
					e.State = balancer.EndpointRemoved
				case 2:
					e.State = balancer.EndpointDraining
				}
				e.Weight = float64(mix64(seed^uint64(i)) % 4)
				list.Endpoints = append(list.Endpoints, e)
				if delete(listed, e.Replica); e.State != balancer.EndpointRemoved {
					listed[e.Replica] = e
				}
			}
			applyAnnounced(announced, selector.Apply(now, list))
			ready, inUse := 0, 0
			for _, e := range listed {
				if e.State == balancer.EndpointReady {
					ready++
				}
			}
			outside := 0
			for id, e := range announced {
				if current, ok := listed[id]; !ok || current != e {
					t.Fatalf("step %d: %+v is announced, the list has %+v", step, e, current)
				}
				if _, isOutside := selector.outsideTargets[id]; isOutside {
					outside++
					continue
				}
				if e.State == balancer.EndpointReady {
					inUse++
				}
			}
			if len(listed) <= maxReplicas && len(announced) != len(listed) {
				t.Fatalf("step %d: %d of %d, which the limit of %d allows", step, len(announced), len(listed), maxReplicas)
			}
			if len(listed) > maxReplicas && (inUse > maxReplicas || inUse < min(max(1, maxReplicas*2/5), ready)) {
				t.Fatalf("step %d: %d in use of %d, limit %d", step, inUse, ready, maxReplicas)
			}
			fresh := NewSelector(s, noPrefixStats{})
			var fleet []balancer.Endpoint
			for _, e := range listed {
				fleet = append(fleet, e)
			}
			other := map[balancer.ReplicaID]balancer.Endpoint{}
			applyAnnounced(other, fresh.Apply(now, fullList(fleet)))
			if len(other) != len(announced)-outside {
				t.Fatalf("step %d: %d after several lists with %d outside targets, %d after one", step, len(announced), outside, len(other))
			}
			for id := range other {
				if _, ok := announced[id]; !ok {
					t.Fatalf("step %d: the subset depends on earlier lists", step)
				}
			}
			request := balancer.Request{Session: 3, Prefix: 4}
			if list, changed := selector.AssignAffinityTarget(now+20*second, &request); changed {
				applyAnnounced(announced, list)
			}
			if request.AffinityTarget != 0 && announced[request.AffinityTarget].State != balancer.EndpointReady {
				t.Fatalf("step %d: the affinity target is not ready", step)
			}
		}
	})
}

// subsetCounts is the number of gateways, by replica, that have the replica in their subset.
type subsetCounts map[balancer.ReplicaID]int

// add counts the subset of a fleet that a gateway with these settings selects.
func (c subsetCounts) add(s Settings, fleet []balancer.Endpoint) {
	for id := range readyIDs(NewSelector(s, noPrefixStats{}).Apply(second, fullList(fleet))) {
		c[id]++
	}
}

func (c subsetCounts) largest() (largest int) {
	for _, n := range c {
		largest = max(largest, n)
	}
	return largest
}

// mean returns the mean count of the fleet's replicas, those in no subset included.
func (c subsetCounts) mean(fleet []balancer.Endpoint) float64 {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return float64(sum) / float64(len(fleet))
}

// With few gateways for a fleet, subsets are larger than MaxReplicas, up to the complete list, so that every
// replica is in some subset. This also holds if the configured number of gateways is too small.
func TestFewGateways(t *testing.T) {
	fleet := zonedEndpoints(0, evenCounts(3, 400)...)
	for _, c := range []struct{ gateways, configured int }{{12, 12}, {40, 40}, {200, 200}, {200, 100}, {200, 400}, {100, 1800}} {
		subsets := subsetCounts{}
		for i := range c.gateways {
			s := testSettings(64, i, fmt.Sprint("z", i%3))
			s.GatewayCount = c.configured
			subsets.add(s, fleet)
		}
		largest, mean := subsets.largest(), subsets.mean(fleet)
		t.Logf("%d gateways, configured %d: %.1f per replica, largest over mean %.2f", c.gateways, c.configured, mean, float64(largest)/mean)
		if c.configured <= c.gateways && (len(subsets) != len(fleet) || float64(largest)/mean > 1.5 || mean < 0.9*min(minGatewaysPerReplica, float64(c.gateways))) {
			t.Errorf("%d gateways, configured %d: %d of %d replicas in use, %.1f a replica, largest %d", c.gateways, c.configured, len(subsets), len(fleet), mean, largest)
		}
	}
}

// With one stale gateway index in ten, replicas are still in nearly equally many subsets. The subset depends
// only on the list that was applied last, whatever the versions of the lists.
func TestStaleIndexesAndLists(t *testing.T) {
	fleet := zonedEndpoints(0, evenCounts(3, 400)...)
	subsets := subsetCounts{}
	for i := range 300 {
		index := i
		if i%10 == 9 {
			index = 300 + i/2 // its index before the gateways were renumbered
		}
		subsets.add(testSettings(128, index, fmt.Sprint("z", i%3)), fleet)
	}
	largest, mean := subsets.largest(), subsets.mean(fleet)
	if len(subsets) != len(fleet) || float64(largest)/mean > 1.6 {
		t.Errorf("%d replicas in use, %.1f gateways each, %d at most", len(subsets), mean, largest)
	}
	selector := NewSelector(testSettings(128, 5, "z1"), noPrefixStats{})
	first := readyIDs(selector.Apply(second, fullList(fleet)))
	announced := map[balancer.ReplicaID]balancer.Endpoint{}
	for _, list := range []balancer.EndpointList{fullList(fleet[:300]), fullList(fleet), fullList(fleet[200:]), fullList(fleet)} {
		list.Version = int64(len(list.Endpoints)) // out of order
		applyAnnounced(announced, selector.Apply(2*second, list))
	}
	for id := range announced {
		if !first[id] {
			t.Fatal("the subset depends on earlier lists")
		}
	}
	if len(announced) != len(first) {
		t.Errorf("%d announced, %d after one list", len(announced), len(first))
	}
}

// Replicas without a start time on discovery's first list are assumed to have started before it, also if an
// empty cached list was applied first. A replica that joins later is assumed to have just started.
func TestUnknownStartTimes(t *testing.T) {
	fleet := zonedEndpoints(0, 400)
	for i := range fleet {
		fleet[i].StartedAt = 0
	}
	selector := NewSelector(testSettings(128, 5, "z0"), noPrefixStats{})
	selector.Apply(second, balancer.EndpointList{Kind: balancer.ListCached})
	for _, e := range selector.Apply(2*second, fullList(fleet)).Endpoints {
		if e.StartedAt != startedLongAgo {
			t.Fatalf("first list: start %d", e.StartedAt)
		}
	}
	late := zonedEndpoints(1000, 300)
	for i := range late {
		late[i].StartedAt = 0
	}
	delta := selector.Apply(3*second, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: late})
	joined := 0
	for _, e := range delta.Endpoints {
		if e.Replica != 0 && selector.fleet[e.Replica].StartedAt == 3*second {
			joined++
		}
	}
	if joined == 0 {
		t.Error("no replica that joined later is in the subset")
	}
}
