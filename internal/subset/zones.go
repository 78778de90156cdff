package subset

import (
	"slices"

	"archknot/balancer"
)

// zone is what the list has of one zone.
type zone struct {
	name          string
	readyWeight   float64               // of the replicas that take work
	subsetShare   float64               // of this gateway's subset that comes from here
	affinityShare float64               // share of the requests of this gateway's zone that are at home here
	windowStarts  [ringsPerZone]float64 // where this gateway's windows begin
}

// zoneTable is the list by zones.
type zoneTable struct {
	byName     map[string]*zone
	sorted     []*zone // by name, so that all gateways go by the same order
	readyCount int
}

// groupByZone counts the list by zones and divides the subset among them.
//
// Gateways are taken to be spread evenly over the zones that have replicas. A zone with its part of
// the fleet or more serves its own gateways; one with less serves as many as it has replicas for, and
// the rest goes to zones that have more. So each replica is in as many subsets as any other. Beside
// that a part, Remote, is drawn from all alike: what a gateway goes on with if its zone is lost.
func (s *Settings) groupByZone(fleet []*replica) *zoneTable {
	t := &zoneTable{byName: map[string]*zone{}}
	var last *zone // zones often come in runs
	for _, r := range fleet {
		if r.State != balancer.EndpointReady {
			continue
		}
		if last == nil || last.name != r.Zone {
			last = t.findOrAdd(s, r.Zone)
		}
		last.readyWeight += r.size(s.WeightIsSize)
		r.zone = last
		t.readyCount++
	}
	slices.SortFunc(t.sorted, func(a, b *zone) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	for _, r := range fleet { // what drains stays where it was, if its zone is there
		if r.State != balancer.EndpointReady {
			r.zone = t.byName[r.Zone]
		}
	}
	t.assignShares(s)
	return t
}

// findOrAdd is the zone of a name, made if it is not there.
func (t *zoneTable) findOrAdd(s *Settings, name string) *zone {
	z := t.byName[name]
	if z == nil {
		z = s.newZone(name)
		t.byName[name] = z
		t.sorted = append(t.sorted, z)
	}
	return z
}

func (s *Settings) newZone(name string) *zone {
	z := &zone{name: name}
	for ring := range z.windowStarts {
		z.windowStarts[ring] = float64(s.GatewayIndex)*ringSteps[ring] + unitInterval(mix64(hashString(name)+uint64(ring)))
	}
	return z
}

// minRemoteFraction keeps every zone in reach: the windows of a zone without a share could not be widened.
const minRemoteFraction = 0.01

// assignShares sets each zone's shares.
func (t *zoneTable) assignShares(s *Settings) {
	all := 0.0
	for _, z := range t.sorted {
		all += z.readyWeight
	}
	if all == 0 {
		return
	}
	remote := max(s.RemoteFraction, minRemoteFraction)
	own := t.byName[s.Zone]
	fair := all / float64(len(t.sorted))
	surplus := 0.0
	for _, z := range t.sorted {
		surplus += max(0, z.readyWeight-fair)
	}
	for _, z := range t.sorted {
		switch {
		case own == nil:
			z.affinityShare = z.readyWeight / all
		case z == own:
			z.affinityShare = min(1, own.readyWeight/fair)
		case surplus > 0:
			z.affinityShare = (1 - min(1, own.readyWeight/fair)) * max(0, z.readyWeight-fair) / surplus
		}
		z.subsetShare = (1-remote)*z.affinityShare + remote*z.readyWeight/all
	}
}
