package subset

import (
	"cmp"
	"maps"
	"slices"

	"archknot/balancer"
)

// PrefixStats provides the balancer's statistics of prefixes to a Selector.
type PrefixStats interface {
	// PrefixShare returns the fraction of the requests so far that have the prefix.
	PrefixShare(prefix uint64) (fraction float64)
}

// startedLongAgo is the assumed start time of a replica that started before this gateway. It is not 0,
// because the balancer treats 0 as unknown and the replica as just started.
const startedLongAgo balancer.Micros = 1

// Selector reduces discovery's endpoint lists for the balancer. It stores the complete list and passes on
// the gateway's subset of it, and in addition the affinity targets of current requests that are outside the
// subset. It reads no clock and is not safe for concurrent use.
type Selector struct {
	settings          Settings
	prefixStats       PrefixStats
	fleet             map[balancer.ReplicaID]*replica
	sorted            []*replica // the fleet by ID
	fleetChanged      bool       // replicas have joined or left the fleet since sorted was built
	zones             *zoneTable
	affinityPools     map[string]*affinityPool // by zone, built on demand; nil: no replica of the zone is ready
	subsetting        bool                     // a subset is announced to the balancer, not the complete list
	discoveryListSeen bool                     // a list was received from discovery itself
	announced         map[balancer.ReplicaID]balancer.Endpoint
	outsideTargets    map[balancer.ReplicaID]uint64 // announced affinity targets outside the subset, with useCounter at their last use
	useCounter        uint64
	stats             Stats
}

// Stats describe a Selector for operators.
type Stats struct {
	Listed         int    // replicas on the list
	Ready          int    // those of them that accept new attempts
	Subset         int    // ready replicas in the subset; equal to Ready if the complete list is passed on
	OutsideTargets int    // announced affinity targets outside the subset
	Joined         uint64 // replicas that have joined the subset by changes of the list
	Left           uint64 // replicas that have left it
}

// NewSelector returns a Selector that has no list yet.
func NewSelector(settings Settings, prefixStats PrefixStats) *Selector {
	return &Selector{
		settings:       settings,
		prefixStats:    prefixStats,
		fleet:          map[balancer.ReplicaID]*replica{},
		announced:      map[balancer.ReplicaID]balancer.Endpoint{},
		affinityPools:  map[string]*affinityPool{},
		outsideTargets: map[balancer.ReplicaID]uint64{},
	}
}

// Stats returns the current statistics.
func (s *Selector) Stats() Stats { return s.stats }

// Apply applies a list or delta from discovery and returns the list or delta for the balancer. A failed list
// is returned unchanged, and so is a list within the size limit unless the one before was over it.
func (s *Selector) Apply(now balancer.Micros, list balancer.EndpointList) balancer.EndpointList {
	if s.settings.MaxReplicas <= 0 || list.Kind.Failed() {
		return list
	}
	wasSubsetting := s.subsetting
	if !wasSubsetting {
		s.announceFleet()
	}
	s.updateFleet(now, &list)
	s.subsetting = len(s.fleet) > s.settings.sizeLimit(len(s.fleet))
	s.refreshIndex()
	if s.subsetting {
		return s.subsetList(list)
	}
	s.stats.Subset, s.stats.OutsideTargets = s.stats.Ready, 0
	if wasSubsetting {
		return s.completeList(list)
	}
	return list
}

// announceFleet records that the complete fleet is announced to the balancer.
func (s *Selector) announceFleet() {
	clear(s.announced)
	for id, r := range s.fleet {
		s.announced[id] = r.Endpoint
	}
}

// updateFleet applies a list or delta to the fleet.
func (s *Selector) updateFleet(now balancer.Micros, list *balancer.EndpointList) {
	listed := map[balancer.ReplicaID]bool{}
	for _, e := range list.Endpoints {
		if list.Kind.Complete() {
			listed[e.Replica] = true
		}
		if e.State == balancer.EndpointRemoved {
			s.remove(e.Replica)
			continue
		}
		s.upsert(now, e)
	}
	if list.Kind.Complete() {
		for id := range s.fleet {
			if !listed[id] {
				s.remove(id)
			}
		}
	}
	s.discoveryListSeen = s.discoveryListSeen || list.Kind.FromDiscovery()
}

func (s *Selector) upsert(now balancer.Micros, e balancer.Endpoint) {
	known := s.fleet[e.Replica]
	if e.StartedAt == 0 {
		e.StartedAt = s.assumedStart(now, known)
	}
	if known == nil {
		s.fleet[e.Replica] = newReplica(e)
		s.fleetChanged = true
		return
	}
	if known.State != e.State || known.Zone != e.Zone {
		s.invalidatePool(known.Zone)
		s.invalidatePool(e.Zone)
	}
	known.Endpoint = e
}

// assumedStart returns the start of a replica for which the list has none: long ago, unless the replica
// has joined after discovery's first list.
func (s *Selector) assumedStart(now balancer.Micros, known *replica) balancer.Micros {
	switch {
	case known != nil:
		return known.StartedAt
	case s.discoveryListSeen:
		return now
	default:
		return startedLongAgo
	}
}

func (s *Selector) remove(id balancer.ReplicaID) {
	if s.fleet[id] != nil {
		delete(s.fleet, id)
		s.fleetChanged = true
	}
}

func (s *Selector) invalidatePool(zone string) { delete(s.affinityPools, zone) }

// refreshIndex updates the data that is derived from the complete fleet. The sorted list and the affinity
// pools are rebuilt only if replicas have joined or left.
func (s *Selector) refreshIndex() {
	if s.fleetChanged {
		s.sorted = slices.AppendSeq(s.sorted[:0], maps.Values(s.fleet))
		slices.SortFunc(s.sorted, func(a, b *replica) int { return cmp.Compare(a.Replica, b.Replica) })
		clear(s.affinityPools)
		s.fleetChanged = false
	}
	s.stats.Listed, s.stats.Ready = len(s.sorted), 0
	for _, r := range s.sorted {
		if r.State == balancer.EndpointReady {
			s.stats.Ready++
		}
	}
}

// affinityPool returns the pool of a zone, nil if no replica of it is ready.
func (s *Selector) affinityPool(zone string) *affinityPool {
	if pool, ok := s.affinityPools[zone]; ok {
		return pool
	}
	var ready []*replica
	for _, r := range s.sorted {
		if r.Zone == zone && r.State == balancer.EndpointReady {
			ready = append(ready, r)
		}
	}
	var pool *affinityPool
	if len(ready) > 0 {
		pool = newAffinityPool(ready)
	}
	s.affinityPools[zone] = pool
	return pool
}

// subsetList returns the balancer's list or delta for a list over the size limit.
func (s *Selector) subsetList(list balancer.EndpointList) balancer.EndpointList {
	s.zones, s.stats.Subset = s.settings.selectSubset(s.sorted)
	next := s.nextAnnounced()
	out := balancer.EndpointList{Kind: list.Kind, Version: list.Version, FleetSize: s.stats.Ready}
	for id, e := range next {
		previous, known := s.announced[id]
		if !known {
			s.stats.Joined++
		}
		if list.Kind.Complete() || !known || previous != e {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for id, previous := range s.announced {
		if _, stays := next[id]; stays {
			continue
		}
		s.stats.Left++
		if !list.Kind.Complete() {
			previous.State = balancer.EndpointRemoved
			out.Endpoints = append(out.Endpoints, previous)
		}
	}
	s.announced, s.stats.OutsideTargets = next, len(s.outsideTargets)
	sortByReplica(out.Endpoints)
	return out
}

// nextAnnounced returns the replicas to announce to the balancer: the subset and the affinity targets outside
// it. It removes targets that are in the subset now or have left the fleet from the outside targets.
func (s *Selector) nextAnnounced() map[balancer.ReplicaID]balancer.Endpoint {
	next := make(map[balancer.ReplicaID]balancer.Endpoint, s.settings.MaxReplicas)
	for _, r := range s.sorted {
		_, outside := s.outsideTargets[r.Replica]
		if !r.selected && !outside {
			continue
		}
		if r.selected {
			delete(s.outsideTargets, r.Replica)
		}
		next[r.Replica] = r.Endpoint
	}
	maps.DeleteFunc(s.outsideTargets, func(id balancer.ReplicaID, _ uint64) bool { return s.fleet[id] == nil })
	return next
}

// completeList returns a list of the complete fleet, after the fleet has shrunk to the size limit.
func (s *Selector) completeList(list balancer.EndpointList) balancer.EndpointList {
	clear(s.outsideTargets)
	clear(s.announced)
	out := balancer.EndpointList{Kind: list.Kind, Version: list.Version}
	for _, r := range s.sorted {
		out.Endpoints = append(out.Endpoints, r.Endpoint)
	}
	if !list.Kind.Complete() { // a delta must also contain the removed replicas
		for _, e := range list.Endpoints {
			if e.State == balancer.EndpointRemoved {
				out.Endpoints = append(out.Endpoints, e)
			}
		}
	}
	sortByReplica(out.Endpoints)
	return out
}

func sortByReplica(endpoints []balancer.Endpoint) {
	slices.SortFunc(endpoints, func(a, b balancer.Endpoint) int { return cmp.Compare(a.Replica, b.Replica) })
}
