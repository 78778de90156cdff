package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"archknot/balancer"
)

// PrefixStats is what a view has to know of the decision module that it stands before.
type PrefixStats interface {
	PrefixShare(prefix uint64) (share float64) // of the requests seen so far
}

// Selector stands between discovery's lists and the decision module: it holds the whole list and tells
// the module the gateway's subset of it, and beside that the homes of requests at hand. It has one
// owner, and reads no clock.
type Selector struct {
	settings       Settings
	prefixStats    PrefixStats
	fleet          map[balancer.ReplicaID]*replica
	sorted         []*replica // by id
	zones          *zoneTable
	affinityPools  map[string]*affinityPool // by zone; made when they are asked for
	membersChanged bool                     // replicas have come or gone since sorted was made
	subsetting     bool                     // the module is told a part
	discoveryHeard bool                     // discovery itself has told a list
	announced      map[balancer.ReplicaID]balancer.Endpoint
	outsideTargets map[balancer.ReplicaID]uint64 // homes outside of the subset, by when they were last wanted
	useCounter     uint64
	stats          Stats
}

// Stats are a view's figures for operators.
type Stats struct {
	Listed         int    // replicas on the list
	Ready          int    // those that take work
	Subset         int    // those in the subset that take work; as many as Ready where the list passes whole
	OutsideTargets int    // homes outside of the subset that are told
	Joined         uint64 // replicas that have come into the subset by changes of the list
	Left           uint64 // and out of it
}

// NewSelector returns a view that has heard of no list.
func NewSelector(s Settings, figures PrefixStats) *Selector {
	return &Selector{settings: s, prefixStats: figures, fleet: map[balancer.ReplicaID]*replica{}, announced: map[balancer.ReplicaID]balancer.Endpoint{},
		affinityPools: map[string]*affinityPool{}, outsideTargets: map[balancer.ReplicaID]uint64{}}
}

// Stats tells the view's figures.
func (v *Selector) Stats() Stats { return v.stats }

// Apply takes discovery's news and returns what the module is told of it. Lists of no more replicas
// than the bound are returned as they are.
func (v *Selector) Apply(now balancer.Micros, list balancer.EndpointList) balancer.EndpointList {
	if v.settings.MaxReplicas <= 0 || list.Kind.Failed() {
		return list
	}
	was := v.subsetting
	if !was { // all that was listed so far
		clear(v.announced)
		for id, r := range v.fleet {
			v.announced[id] = r.Endpoint
		}
	}
	v.updateFleet(now, &list)
	v.subsetting = len(v.fleet) > v.settings.sizeLimit(len(v.fleet))
	v.refreshIndex()
	if !v.subsetting {
		v.stats.Subset, v.stats.OutsideTargets = v.stats.Ready, 0
		if was {
			return v.fullList(list)
		}
		return list
	}
	return v.subsetList(list)
}

// updateFleet takes the list over.
func (v *Selector) updateFleet(now balancer.Micros, list *balancer.EndpointList) {
	listed := map[balancer.ReplicaID]bool{}
	for _, m := range list.Endpoints {
		if list.Kind.Complete() {
			listed[m.Replica] = true
		}
		if m.State == balancer.EndpointGone {
			v.remove(m.Replica)
			continue
		}
		v.upsert(now, m)
	}
	if list.Kind.Complete() {
		for id := range v.fleet {
			if !listed[id] {
				v.remove(id)
			}
		}
	}
	v.discoveryHeard = v.discoveryHeard || list.Kind.FromDiscovery()
}

func (v *Selector) upsert(now balancer.Micros, m balancer.Endpoint) {
	was := v.fleet[m.Replica]
	if m.StartedAt == 0 { // not told: long ago, unless it has come since discovery's first list
		switch {
		case was != nil:
			m.StartedAt = was.StartedAt
		case v.discoveryHeard:
			m.StartedAt = now
		default:
			m.StartedAt = startedLongAgo
		}
	}
	if was == nil {
		v.fleet[m.Replica] = newReplica(m)
		v.membersChanged = true
		return
	}
	if was.State != m.State || was.Zone != m.Zone {
		v.invalidatePool(was.Zone)
		v.invalidatePool(m.Zone)
	}
	was.Endpoint = m
}

func (v *Selector) remove(id balancer.ReplicaID) {
	if v.fleet[id] != nil {
		delete(v.fleet, id)
		v.membersChanged = true
	}
}

// invalidatePool has a zone's pool made anew.
func (v *Selector) invalidatePool(zone string) { delete(v.affinityPools, zone) }

// startedLongAgo is the start of a replica that was up before this gateway was. It is not 0, which the
// module would take for no word of a start and hence for a start just now.
const startedLongAgo balancer.Micros = 1

// refreshIndex renews what is worked out from the whole list: all of it where replicas have come or gone,
// else only what has changed.
func (v *Selector) refreshIndex() {
	if v.membersChanged {
		v.sorted = slices.AppendSeq(v.sorted[:0], maps.Values(v.fleet))
		slices.SortFunc(v.sorted, func(a, b *replica) int { return cmp.Compare(a.Replica, b.Replica) })
		clear(v.affinityPools)
		v.membersChanged = false
	}
	v.stats.Listed, v.stats.Ready = len(v.sorted), 0
	for _, r := range v.sorted {
		if r.State == balancer.EndpointReady {
			v.stats.Ready++
		}
	}
}

// affinityPool is the pool of a zone, nil if nothing in it takes work.
func (v *Selector) affinityPool(zone string) *affinityPool {
	if p, ok := v.affinityPools[zone]; ok {
		return p
	}
	var ready []*replica
	for _, r := range v.sorted {
		if r.Zone == zone && r.State == balancer.EndpointReady {
			ready = append(ready, r)
		}
	}
	var p *affinityPool
	if len(ready) > 0 {
		p = newAffinityPool(ready)
	}
	v.affinityPools[zone] = p
	return p
}

// subsetList makes the module's list of one that is longer than the bound.
func (v *Selector) subsetList(list balancer.EndpointList) balancer.EndpointList {
	v.zones, v.stats.Subset = v.settings.selectSubset(v.sorted)
	next := make(map[balancer.ReplicaID]balancer.Endpoint, v.settings.MaxReplicas)
	for _, r := range v.sorted {
		if _, guest := v.outsideTargets[r.Replica]; guest && r.selected {
			delete(v.outsideTargets, r.Replica)
		} else if !r.selected && !guest {
			continue
		}
		next[r.Replica] = r.Endpoint
	}
	maps.DeleteFunc(v.outsideTargets, func(id balancer.ReplicaID, _ uint64) bool { return v.fleet[id] == nil })
	out := balancer.EndpointList{Kind: list.Kind, Version: list.Version, FleetSize: v.stats.Ready}
	for id, m := range next {
		was, told := v.announced[id]
		if !told {
			v.stats.Joined++
		}
		if list.Kind.Complete() || !told || was != m {
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	for id, was := range v.announced {
		if _, stays := next[id]; stays {
			continue
		}
		v.stats.Left++
		if !list.Kind.Complete() {
			was.State = balancer.EndpointGone
			out.Endpoints = append(out.Endpoints, was)
		}
	}
	v.announced, v.stats.OutsideTargets = next, len(v.outsideTargets)
	sortMembers(out.Endpoints)
	return out
}

// fullList tells everything, after the list has shrunk to the bound.
func (v *Selector) fullList(list balancer.EndpointList) balancer.EndpointList {
	clear(v.outsideTargets)
	clear(v.announced)
	out := balancer.EndpointList{Kind: list.Kind, Version: list.Version}
	for _, r := range v.sorted {
		out.Endpoints = append(out.Endpoints, r.Endpoint)
	}
	if !list.Kind.Complete() { // what has gone by this list
		for _, m := range list.Endpoints {
			if m.State == balancer.EndpointGone {
				out.Endpoints = append(out.Endpoints, m)
			}
		}
	}
	sortMembers(out.Endpoints)
	return out
}

func sortMembers(list []balancer.Endpoint) {
	slices.SortFunc(list, func(a, b balancer.Endpoint) int { return cmp.Compare(a.Replica, b.Replica) })
}

// AssignAffinityTarget sets the home of a request that has come. Where the module has not been told of that replica
// yet, the list that tells it is returned.
func (v *Selector) AssignAffinityTarget(now balancer.Micros, in *balancer.Request) (list balancer.EndpointList, tell bool) {
	if !v.subsetting {
		return list, false
	}
	home := v.affinityTarget(now, in)
	if home == nil {
		return list, false
	}
	v.useCounter++
	v.announceTarget(home, &list)
	in.HomeReplica = home.Replica
	list.Kind, list.FleetSize = balancer.ListOverride, v.stats.Ready
	sortMembers(list.Endpoints)
	return list, len(list.Endpoints) > 0
}

// announceTarget makes sure that the module is told of a replica, and enters what has to be told for it in
// the list.
func (v *Selector) announceTarget(r *replica, list *balancer.EndpointList) {
	_, told := v.announced[r.Replica]
	_, guest := v.outsideTargets[r.Replica]
	if told && !guest {
		return
	}
	if !guest {
		if len(v.outsideTargets) >= v.maxOutsideTargets() {
			v.withdrawOldestTarget(list)
		}
		list.Endpoints = append(list.Endpoints, r.Endpoint)
		v.announced[r.Replica] = r.Endpoint
	}
	v.outsideTargets[r.Replica] = v.useCounter
	v.stats.OutsideTargets = len(v.outsideTargets)
}

// maxOutsideTargets is how many homes outside of the subset the module is told at once.
func (v *Selector) maxOutsideTargets() int { return max(1, v.settings.MaxReplicas/2) }

// withdrawOldestTarget takes the guest that was not wanted for longest back. What is out there goes on.
func (v *Selector) withdrawOldestTarget(list *balancer.EndpointList) {
	var oldest balancer.ReplicaID
	least := uint64(math.MaxUint64)
	for id, at := range v.outsideTargets {
		if at < least {
			oldest, least = id, at
		}
	}
	member := v.announced[oldest]
	member.State = balancer.EndpointGone
	list.Endpoints = append(list.Endpoints, member)
	delete(v.outsideTargets, oldest)
	delete(v.announced, oldest)
}
