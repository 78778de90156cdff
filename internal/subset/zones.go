package subset

import (
	"slices"

	"archknot/choice"
)

// zone is what the list has of one zone.
type zone struct {
	name   string
	weight float64        // of the replicas that take work
	share  float64        // of this gateway's subset that comes from here
	home   float64        // share of the requests of this gateway's zone that are at home here
	starts [rings]float64 // where this gateway's windows begin
}

// zoneTable is the list by zones.
type zoneTable struct {
	byName map[string]*zone
	sorted []*zone // by name, so that all gateways go by the same order
	ready  int
}

// zones counts the list by zones and divides the subset among them.
//
// Gateways are taken to be spread evenly over the zones that have replicas. A zone with its part of
// the fleet or more serves its own gateways; one with less serves as many as it has replicas for, and
// the rest goes to zones that have more. So each replica is in as many subsets as any other. Beside
// that a part, Remote, is drawn from all alike: what a gateway goes on with if its zone is lost.
func (s *Settings) zones(fleet []*replica) *zoneTable {
	t := &zoneTable{byName: map[string]*zone{}}
	var last *zone // zones often come in runs
	for _, r := range fleet {
		if r.State != choice.EndpointReady {
			continue
		}
		if last == nil || last.name != r.Zone {
			last = t.zone(s, r.Zone)
		}
		last.weight += r.size(s.Weighted)
		r.zone = last
		t.ready++
	}
	slices.SortFunc(t.sorted, func(a, b *zone) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	for _, r := range fleet { // what drains stays where it was, if its zone is there
		if r.State != choice.EndpointReady {
			r.zone = t.byName[r.Zone]
		}
	}
	t.divide(s)
	return t
}

// zone is the zone of a name, made if it is not there.
func (t *zoneTable) zone(s *Settings, name string) *zone {
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
	for ring := range z.starts {
		z.starts[ring] = float64(s.Index)*steps[ring] + unit(hash(hashText(name)+uint64(ring)))
	}
	return z
}

// leastRemote keeps every zone in reach: the windows of a zone without a share could not be widened.
const leastRemote = 0.01

// divide sets each zone's shares.
func (t *zoneTable) divide(s *Settings) {
	all := 0.0
	for _, z := range t.sorted {
		all += z.weight
	}
	if all == 0 {
		return
	}
	remote := max(s.Remote, leastRemote)
	own := t.byName[s.Zone]
	fair := all / float64(len(t.sorted))
	surplus := 0.0
	for _, z := range t.sorted {
		surplus += max(0, z.weight-fair)
	}
	for _, z := range t.sorted {
		switch {
		case own == nil:
			z.home = z.weight / all
		case z == own:
			z.home = min(1, own.weight/fair)
		case surplus > 0:
			z.home = (1 - min(1, own.weight/fair)) * max(0, z.weight-fair) / surplus
		}
		z.share = (1-remote)*z.home + remote*z.weight/all
	}
}
