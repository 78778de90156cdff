package subset

import (
	"cmp"
	"slices"

	"archknot/balancer"
)

// zone is the part of the endpoint list in one zone.
type zone struct {
	name             string
	readyWeight      float64               // sum of the sizes of the ready replicas
	subsetFraction   float64               // fraction of this gateway's subset that comes from the zone
	affinityFraction float64               // fraction of the requests of this gateway's zone with an affinity target in the zone
	windowStarts     [ringsPerZone]float64 // start of this gateway's window on each ring
}

// zoneTable is the endpoint list by zone.
type zoneTable struct {
	byName     map[string]*zone
	sorted     []*zone // by name, so that all gateways use the same order
	readyCount int
}

// groupByZone groups the fleet by zone and divides the subset among the zones.
//
// Gateways are assumed to be spread evenly over the zones that have replicas. A zone with at least the mean
// weight of a zone serves its own gateways. A zone with less serves its gateways in part, and the remainder
// of their subsets comes from zones with a surplus. So each replica is in as many subsets as any other. In
// addition RemoteFraction of the subset comes from all zones alike, so that a gateway continues to serve
// requests if its zone is lost.
func (s *Settings) groupByZone(fleet []*replica) *zoneTable {
	t := &zoneTable{byName: map[string]*zone{}}
	var last *zone // saves map lookups: the replicas of a zone are often listed in a run
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
	slices.SortFunc(t.sorted, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	for _, r := range fleet { // a draining replica stays in its windows if its zone has ready ones
		if r.State != balancer.EndpointReady {
			r.zone = t.byName[r.Zone]
		}
	}
	t.assignFractions(s)
	return t
}

// findOrAdd returns the named zone, and adds it if it is missing.
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

// minRemoteFraction keeps every zone's subsetFraction positive: windows of width 0 could not be widened.
const minRemoteFraction = 0.01

// assignFractions sets each zone's fractions of the subset and of the affinity targets.
func (t *zoneTable) assignFractions(s *Settings) {
	totalWeight := 0.0
	for _, z := range t.sorted {
		totalWeight += z.readyWeight
	}
	if totalWeight == 0 {
		return
	}
	remote := max(s.RemoteFraction, minRemoteFraction)
	own := t.byName[s.Zone]
	fairWeight := totalWeight / float64(len(t.sorted))
	surplus := 0.0
	for _, z := range t.sorted {
		surplus += max(0, z.readyWeight-fairWeight)
	}
	for _, z := range t.sorted {
		switch {
		case own == nil:
			z.affinityFraction = z.readyWeight / totalWeight
		case z == own:
			z.affinityFraction = min(1, own.readyWeight/fairWeight)
		case surplus > 0:
			z.affinityFraction = (1 - min(1, own.readyWeight/fairWeight)) * max(0, z.readyWeight-fairWeight) / surplus
		}
		z.subsetFraction = (1-remote)*z.affinityFraction + remote*z.readyWeight/totalWeight
	}
}
