package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

// noPrefixStats is a module that has seen no prefix.
type noPrefixStats struct{}

func (noPrefixStats) PrefixShare(uint64) float64 { return 0 }

const second balancer.Micros = 1_000_000

// zonedMembers is a list of replicas dealt to zones, so many in each, with ids from first on.
func zonedMembers(first int, counts ...int) (out []balancer.Endpoint) {
	for zone, n := range counts {
		for range n {
			out = append(out, balancer.Endpoint{Replica: balancer.ReplicaID(mix64(uint64(first))), State: balancer.EndpointReady, Weight: 1,
				Zone: fmt.Sprint("z", zone), Kind: "k", StartedAt: 5})
			first++
		}
	}
	return out
}

func evenCounts(zones, each int) []int {
	return slices.Repeat([]int{each}, zones)
}

func fullListOf(members []balancer.Endpoint) balancer.EndpointList {
	return balancer.EndpointList{Kind: balancer.ListFull, Endpoints: members}
}

// testSettings is the settings of the tests: those of a gateway in the zone that its index stands for.
func testSettings(most, index int, zone string) Settings {
	return Settings{MaxReplicas: most, GatewayIndex: index, Zone: zone, RemoteFraction: DefaultRemoteFraction, SlowStart: 9 * second}
}

// readyIDs are the replicas of a list that take work.
func readyIDs(list balancer.EndpointList) map[balancer.ReplicaID]bool {
	out := map[balancer.ReplicaID]bool{}
	for _, m := range list.Endpoints {
		if m.State == balancer.EndpointReady {
			out[m.Replica] = true
		}
	}
	return out
}

// applyAnnounced applies what a view tells to what was told before, as the module does.
func applyAnnounced(held map[balancer.ReplicaID]balancer.Endpoint, list balancer.EndpointList) {
	if list.Kind.Complete() {
		clear(held)
	}
	for _, m := range list.Endpoints {
		if m.State == balancer.EndpointGone {
			delete(held, m.Replica)
		} else {
			held[m.Replica] = m
		}
	}
}

// A list of up to the bound passes as it is.
func TestListsUpToTheLimitPassComplete(t *testing.T) {
	for _, n := range []int{0, 1, 99, 128} {
		list := fullListOf(zonedMembers(0, n))
		v := NewSelector(testSettings(128, 3, "z0"), noPrefixStats{})
		got := v.Apply(second, list)
		if len(got.Endpoints) != n || got.FleetSize != 0 || n > 0 && &got.Endpoints[0] != &list.Endpoints[0] {
			t.Errorf("%d replicas: %d told, fleet %d", n, len(got.Endpoints), got.FleetSize)
		}
		in := balancer.Request{Session: 7, Prefix: 8}
		if _, tell := v.AssignAffinityTarget(second, &in); tell || in.HomeReplica != 0 {
			t.Errorf("%d replicas: a home of its own", n)
		}
	}
	list := fullListOf(zonedMembers(0, 5000))
	if got := NewSelector(testSettings(0, 3, "z0"), noPrefixStats{}).Apply(second, list); len(got.Endpoints) != 5000 {
		t.Error("no bound, and not the whole list")
	}
}

// Every replica is in about as many subsets as any other, whatever zone a gateway's index stands for;
// the number of gateways is told to nobody.
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
		members := zonedMembers(0, c.counts...)
		subsets := map[balancer.ReplicaID]int{}
		sizes, least, most := 0, math.MaxInt, 0
		var fleet []*replica
		for _, m := range members {
			fleet = append(fleet, newReplica(m))
		}
		for i := range c.gateways {
			s := testSettings(128, i, fmt.Sprint("z", c.zoneOf(i, len(c.counts))))
			s.GatewayCount = c.gateways
			_, n := s.selectSubset(fleet)
			for _, r := range fleet {
				if r.selected {
					subsets[r.Replica]++
				}
			}
			sizes, least, most = sizes+n, min(least, n), max(most, n)
		}
		mean, largest := float64(sizes)/float64(len(members)), 0
		for _, n := range subsets {
			largest = max(largest, n)
		}
		t.Logf("%s: subsets %d to %d, %.1f gateways a replica, largest over mean %.3f", c.name, least, most, mean, float64(largest)/mean)
		if float64(largest)/mean > 1.25 || len(subsets) != len(members) || most > 128 || least < 51 {
			t.Errorf("%s: largest over mean %.3f, %d of %d replicas in use", c.name, float64(largest)/mean, len(subsets), len(members))
		}
	}
}

// One replica in another's place moves nothing else; a third replaced at once moves these alone, up
// to the few by which a window's edge moves.
func TestReplacedReplicasMoveNothingElse(t *testing.T) {
	members := zonedMembers(0, evenCounts(6, 1000)...)
	for index := range 60 {
		v := NewSelector(testSettings(128, index, fmt.Sprint("z", index%6)), noPrefixStats{})
		before := readyIDs(v.Apply(second, fullListOf(members)))
		next := slices.Clone(members)
		next[index*7] = zonedMembers(90_000+index, 1)[0]
		next[index*7].Zone = members[index*7].Zone
		after := readyIDs(v.Apply(2*second, fullListOf(next)))
		for id := range before {
			if !after[id] && id != members[index*7].Replica {
				t.Fatalf("gateway %d: another replica has left the subset", index)
			}
		}
		for id := range after {
			if !before[id] && id != next[index*7].Replica {
				t.Fatalf("gateway %d: another replica has come into the subset", index)
			}
		}
		third := slices.Clone(members)
		for i := 0; i < len(third); i += 3 {
			third[i] = zonedMembers(100_000+i, 1)[0]
			third[i].Zone = members[i].Zone
		}
		after, stayed := readyIDs(v.Apply(3*second, fullListOf(third))), 0
		for i, m := range members {
			if i%3 != 0 && before[m.Replica] {
				if stayed++; !after[m.Replica] {
					t.Fatalf("gateway %d: one that was not replaced has left", index)
				}
			}
		}
		if stayed < 30 {
			t.Fatalf("gateway %d: %d stayed", index, stayed)
		}
	}
}

// Whatever becomes of a gateway's own replicas, others are told with the same list.
func TestUnavailableReplicasAreReplaced(t *testing.T) {
	members := zonedMembers(0, evenCounts(3, 500)...)
	for _, state := range []balancer.EndpointState{balancer.EndpointDraining, balancer.EndpointGone} {
		v := NewSelector(testSettings(128, 11, "z1"), noPrefixStats{})
		first := v.Apply(second, fullListOf(members))
		held := map[balancer.ReplicaID]balancer.Endpoint{}
		applyAnnounced(held, first)
		change := balancer.EndpointList{Kind: balancer.ListDelta}
		for _, m := range first.Endpoints {
			m.State = state
			change.Endpoints = append(change.Endpoints, m)
		}
		applyAnnounced(held, v.Apply(2*second, change))
		ready := 0
		for _, m := range held {
			if m.State == balancer.EndpointReady {
				ready++
			}
		}
		if ready < 51 || ready > 128 {
			t.Errorf("state %d: %d others", state, ready)
		}
	}
	// A zone that is lost and comes back cold: the gateways go on with others, and then as before.
	for index := range 30 {
		v := NewSelector(testSettings(128, index, "z1"), noPrefixStats{})
		before := readyIDs(v.Apply(second, fullListOf(members)))
		lost := slices.DeleteFunc(slices.Clone(members), func(m balancer.Endpoint) bool { return m.Zone == "z1" })
		if got := readyIDs(v.Apply(2*second, fullListOf(lost))); len(got) < 51 {
			t.Errorf("gateway %d: %d left without its zone", index, len(got))
		}
		back := slices.Clone(members)
		for i := range back {
			if back[i].Zone == "z1" {
				back[i].StartedAt = 8 * second
			}
		}
		got := v.Apply(9*second, fullListOf(back))
		for _, m := range got.Endpoints {
			if m.Zone == "z1" && m.StartedAt != 8*second || !before[m.Replica] {
				t.Fatalf("gateway %d: after the return %+v", index, m)
			}
		}
		in := balancer.Request{Session: uint64(index) + 1}
		if v.AssignAffinityTarget(9*second, &in); in.HomeReplica != 0 && slices.ContainsFunc(back, func(m balancer.Endpoint) bool { return m.Replica == in.HomeReplica && m.Zone == "z1" }) {
			t.Errorf("gateway %d: at home at a replica in slow start", index)
		}
	}
}

// A list that shrinks below the bound and grows over it again: the module holds what is in use, and
// never a replica that has gone.
func TestListsShrinkAndGrow(t *testing.T) {
	members := zonedMembers(0, 400)
	v := NewSelector(testSettings(128, 5, "z0"), noPrefixStats{})
	held := map[balancer.ReplicaID]balancer.Endpoint{}
	applyAnnounced(held, v.Apply(second, fullListOf(members[:100])))
	for step, n := range []int{400, 129, 128, 1, 0, 300, 128, 129} {
		change := balancer.EndpointList{Kind: balancer.ListDelta}
		for i, m := range members {
			if i >= n {
				m.State = balancer.EndpointGone
			}
			change.Endpoints = append(change.Endpoints, m)
		}
		list := change
		if step%2 == 0 {
			list = fullListOf(members[:n])
		}
		applyAnnounced(held, v.Apply(balancer.Micros(step+2)*second, list))
		for id := range held {
			if !slices.ContainsFunc(members[:n], func(m balancer.Endpoint) bool { return m.Replica == id }) {
				t.Fatalf("step %d: holds one that has gone", step)
			}
		}
		if n <= 128 && len(held) != n || n > 128 && (len(held) < 51 || len(held) > 128) {
			t.Errorf("step %d: %d of %d", step, len(held), n)
		}
	}
}

// Twice the weight is in twice as many subsets; a weight of 0 is not told and counts as 1; and
// weights that are load, not size, move nothing.
func TestWeights(t *testing.T) {
	members := zonedMembers(0, 3000)
	for i := range members {
		members[i].Weight = []float64{0, 1, 2}[i%3]
	}
	counts := [3]int{}
	for index := range 200 {
		s := testSettings(128, index, "z0")
		s.WeightIsSize = true
		got := readyIDs(NewSelector(s, noPrefixStats{}).Apply(second, fullListOf(members)))
		for i, m := range members {
			if got[m.Replica] {
				counts[i%3]++
			}
		}
	}
	for i, want := range []float64{1, 1, 2} {
		if got := float64(counts[i]) / float64(counts[0]); math.Abs(got-want) > 0.1 {
			t.Errorf("weight %d: in %.2f times as many subsets, want %v", i, got, want)
		}
	}
	v := NewSelector(testSettings(128, 1, "z0"), noPrefixStats{})
	before := readyIDs(v.Apply(second, fullListOf(members)))
	for i := range members {
		members[i].Weight = float64(i % 7)
	}
	after := v.Apply(2*second, fullListOf(members))
	for id := range readyIDs(after) {
		if !before[id] {
			t.Fatal("a change of load has moved the subset")
		}
	}
}

// All gateways of a zone send a session to the same homes, whatever their subsets, and its prefix
// stays at a few replicas. A guest is told before it is used; there are no more than the bound allows.
func TestGatewaysAgreeOnAffinityTargets(t *testing.T) {
	members := zonedMembers(0, evenCounts(4, 400)...)
	homes := map[uint64]balancer.ReplicaID{}
	ofPrefix := map[uint64]map[balancer.ReplicaID]bool{}
	for _, index := range []int{1, 5, 9, 413} {
		v := NewSelector(testSettings(128, index, "z1"), noPrefixStats{})
		held := map[balancer.ReplicaID]balancer.Endpoint{}
		applyAnnounced(held, v.Apply(20*second, fullListOf(members)))
		for session := range uint64(600) {
			in := balancer.Request{Session: session + 1, Prefix: session%40 + 1}
			list, tell := v.AssignAffinityTarget(20*second, &in)
			if tell {
				applyAnnounced(held, list)
			}
			if in.HomeReplica == 0 {
				t.Fatalf("gateway %d, session %d: no home", index, session)
			}
			if _, told := held[in.HomeReplica]; !told || len(held) > 128+64 {
				t.Fatalf("gateway %d, session %d: home told %t; %d held", index, session, told, len(held))
			}
			if home, ok := homes[session]; ok && home != in.HomeReplica {
				t.Fatalf("gateway %d, session %d: another home", index, session)
			}
			homes[session] = in.HomeReplica
			if ofPrefix[in.Prefix] == nil {
				ofPrefix[in.Prefix] = map[balancer.ReplicaID]bool{}
			}
			ofPrefix[in.Prefix][in.HomeReplica] = true
		}
	}
	for prefix, at := range ofPrefix {
		if len(at) > 3*minPrefixTargets {
			t.Errorf("prefix %d is kept at %d replicas", prefix, len(at))
		}
	}
}

// Over drawn fleets and histories: the subset is within its bounds, holds what the list says and
// nothing else, is the same by whatever lists it came about, and has enough that takes work.
func TestSubsetsOfRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 150).Draw(t, "most")
		s := Settings{MaxReplicas: most, GatewayIndex: rapid.IntRange(0, 5000).Draw(t, "index"), RemoteFraction: rapid.Float64Range(0, 1).Draw(t, "remote"),
			Zone: rapid.SampledFrom([]string{"z0", "z1", "z9", ""}).Draw(t, "zone"), WeightIsSize: rapid.Bool().Draw(t, "weighted"), SlowStart: 9 * second}
		counts := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 5).Draw(t, "zones")
		all := zonedMembers(0, counts...)
		truth := map[balancer.ReplicaID]balancer.Endpoint{}
		v := NewSelector(s, noPrefixStats{})
		held := map[balancer.ReplicaID]balancer.Endpoint{}
		for step := range rapid.IntRange(1, 6).Draw(t, "lists") {
			now := balancer.Micros(step+1) * second
			list := balancer.EndpointList{Kind: rapid.SampledFrom([]balancer.ListKind{balancer.ListFull, balancer.ListDelta, balancer.ListOverride, balancer.ListCached}).Draw(t, "kind")}
			if list.Kind.Complete() {
				clear(truth)
			}
			seed := rapid.Uint64().Draw(t, "states")
			for i, m := range all {
				switch mix64(seed+uint64(i)) % 6 {
				case 0:
					continue // not on this list
				case 1:
					m.State = balancer.EndpointGone
				case 2:
					m.State = balancer.EndpointDraining
				}
				m.Weight = float64(mix64(seed^uint64(i)) % 4)
				list.Endpoints = append(list.Endpoints, m)
				if delete(truth, m.Replica); m.State != balancer.EndpointGone {
					truth[m.Replica] = m
				}
			}
			applyAnnounced(held, v.Apply(now, list))
			ready, inUse := 0, 0
			for _, m := range truth {
				if m.State == balancer.EndpointReady {
					ready++
				}
			}
			guests := 0
			for id, m := range held {
				if is, ok := truth[id]; !ok || is != m {
					t.Fatalf("step %d: holds %+v, the list has %+v", step, m, is)
				}
				if _, guest := v.outsideTargets[id]; guest {
					guests++
					continue
				}
				if m.State == balancer.EndpointReady {
					inUse++
				}
			}
			if len(truth) <= most && len(held) != len(truth) {
				t.Fatalf("step %d: %d of %d, which the bound of %d allows", step, len(held), len(truth), most)
			}
			if len(truth) > most && (inUse > most || inUse < min(max(1, most*2/5), ready)) {
				t.Fatalf("step %d: %d in use of %d, bound %d", step, inUse, ready, most)
			}
			anew := NewSelector(s, noPrefixStats{})
			var members []balancer.Endpoint
			for _, m := range truth {
				members = append(members, m)
			}
			other := map[balancer.ReplicaID]balancer.Endpoint{}
			applyAnnounced(other, anew.Apply(now, fullListOf(members)))
			if len(other) != len(held)-guests {
				t.Fatalf("step %d: %d by these lists and %d guests, %d by one", step, len(held), guests, len(other))
			}
			for id := range other {
				if _, ok := held[id]; !ok {
					t.Fatalf("step %d: another subset by other lists", step)
				}
			}
			in := balancer.Request{Session: 3, Prefix: 4}
			if list, tell := v.AssignAffinityTarget(now+20*second, &in); tell {
				applyAnnounced(held, list)
			}
			if in.HomeReplica != 0 && held[in.HomeReplica].State != balancer.EndpointReady {
				t.Fatalf("step %d: at home where nothing is taken", step)
			}
		}
	})
}

// Where there are few gateways for a fleet, subsets are larger than the bound, up to the whole list:
// every replica is in some. A count of gateways that is old changes sizes and nothing else.
func TestFewGateways(t *testing.T) {
	members := zonedMembers(0, evenCounts(3, 400)...)
	for _, c := range []struct{ gateways, told int }{{12, 12}, {40, 40}, {200, 200}, {200, 100}, {200, 400}, {100, 1800}} {
		subsets, sizes := map[balancer.ReplicaID]int{}, 0
		for i := range c.gateways {
			s := testSettings(64, i, fmt.Sprint("z", i%3))
			s.GatewayCount = c.told
			got := readyIDs(NewSelector(s, noPrefixStats{}).Apply(second, fullListOf(members)))
			for id := range got {
				subsets[id]++
			}
			sizes += len(got)
		}
		largest := 0
		for _, n := range subsets {
			largest = max(largest, n)
		}
		mean := float64(sizes) / float64(len(members))
		t.Logf("%d gateways, told %d: %.1f a replica, largest over mean %.2f", c.gateways, c.told, mean, float64(largest)/mean)
		if c.told <= c.gateways && (len(subsets) != len(members) || float64(largest)/mean > 1.5 || mean < 0.9*min(minGatewaysPerReplica, float64(c.gateways))) {
			t.Errorf("%d gateways, told %d: %d of %d replicas in use, %.1f a replica, largest %d", c.gateways, c.told, len(subsets), len(members), mean, largest)
		}
	}
}

// A gateway with another's index works with the other's part, and nothing else is different: one in
// ten with an old index leaves the spread nearly as it was. The last list counts, whatever its version.
func TestStaleIndexesAndLists(t *testing.T) {
	members := zonedMembers(0, evenCounts(3, 400)...)
	subsets, sizes := map[balancer.ReplicaID]int{}, 0
	for i := range 300 {
		index := i
		if i%10 == 9 {
			index = 300 + i/2 // as it was before the gateways were numbered anew
		}
		s := testSettings(128, index, fmt.Sprint("z", i%3))
		got := readyIDs(NewSelector(s, noPrefixStats{}).Apply(second, fullListOf(members)))
		for id := range got {
			subsets[id]++
		}
		sizes += len(got)
	}
	largest := 0
	for _, n := range subsets {
		largest = max(largest, n)
	}
	mean := float64(sizes) / float64(len(members))
	if len(subsets) != len(members) || float64(largest)/mean > 1.6 {
		t.Errorf("%d replicas in use, %.1f gateways each, %d at most", len(subsets), mean, largest)
	}
	v := NewSelector(testSettings(128, 5, "z1"), noPrefixStats{})
	first := readyIDs(v.Apply(second, fullListOf(members)))
	held := map[balancer.ReplicaID]balancer.Endpoint{}
	for _, list := range []balancer.EndpointList{fullListOf(members[:300]), fullListOf(members), fullListOf(members[200:]), fullListOf(members)} {
		list.Version = int64(len(list.Endpoints)) // out of order
		applyAnnounced(held, v.Apply(2*second, list))
	}
	for id := range held {
		if !first[id] {
			t.Fatal("another subset by the way it came about")
		}
	}
	if len(held) != len(first) {
		t.Errorf("%d held, %d by one list", len(held), len(first))
	}
}

// Replicas of which no start is told were up before discovery's first list, also where an empty saved
// list came before it; one that comes later has started just now.
func TestUnknownStartTimes(t *testing.T) {
	members := zonedMembers(0, 400)
	for i := range members {
		members[i].StartedAt = 0
	}
	v := NewSelector(testSettings(128, 5, "z0"), noPrefixStats{})
	v.Apply(second, balancer.EndpointList{Kind: balancer.ListCached})
	for _, m := range v.Apply(2*second, fullListOf(members)).Endpoints {
		if m.StartedAt != startedLongAgo {
			t.Fatalf("first list: started at %d", m.StartedAt)
		}
	}
	late := zonedMembers(1000, 300)
	for i := range late {
		late[i].StartedAt = 0
	}
	news := v.Apply(3*second, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: late})
	came := 0
	for _, m := range news.Endpoints {
		if m.Replica != 0 && v.fleet[m.Replica].StartedAt == 3*second {
			came++
		}
	}
	if came == 0 {
		t.Error("none that came later is in the subset")
	}
}
