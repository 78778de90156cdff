package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"archknot/choice"
)

// Figures is what a view has to know of the decision module that it stands before.
type Figures interface {
	PrefixShare(prefix uint64) (share float64) // of the requests seen so far
}

// View stands between discovery's lists and the decision module: it holds the whole list and tells
// the module the gateway's subset of it, and beside that the homes of requests at hand. It has one
// owner, and reads no clock.
type View struct {
	s       Settings
	figures Figures
	fleet   map[choice.ReplicaID]*replica
	sorted  []*replica // by id
	zones   *zoneTable
	pools   map[string]*pool // by zone; made when they are asked for
	regroup bool             // replicas have come or gone since sorted was made
	active  bool             // the module is told a part
	heard   bool             // discovery itself has told a list
	told    map[choice.ReplicaID]choice.Endpoint
	guests  map[choice.ReplicaID]uint64 // homes outside of the subset, by when they were last wanted
	clock   uint64
	stats   Stats
}

// Stats are a view's figures for operators.
type Stats struct {
	Listed int    // replicas on the list
	Ready  int    // those that take work
	Subset int    // those in the subset that take work; as many as Ready where the list passes whole
	Guests int    // homes outside of the subset that are told
	Joined uint64 // replicas that have come into the subset by changes of the list
	Left   uint64 // and out of it
}

// NewView returns a view that has heard of no list.
func NewView(s Settings, figures Figures) *View {
	return &View{s: s, figures: figures, fleet: map[choice.ReplicaID]*replica{}, told: map[choice.ReplicaID]choice.Endpoint{},
		pools: map[string]*pool{}, guests: map[choice.ReplicaID]uint64{}}
}

// Stats tells the view's figures.
func (v *View) Stats() Stats { return v.stats }

// Apply takes discovery's news and returns what the module is told of it. Lists of no more replicas
// than the bound are returned as they are.
func (v *View) Apply(now choice.Micros, list choice.EndpointList) choice.EndpointList {
	if v.s.Most <= 0 || list.Kind.Failed() {
		return list
	}
	was := v.active
	if !was { // all that was listed so far
		clear(v.told)
		for id, r := range v.fleet {
			v.told[id] = r.Endpoint
		}
	}
	v.enter(now, &list)
	v.active = len(v.fleet) > v.s.bound(len(v.fleet))
	v.index()
	if !v.active {
		v.stats.Subset, v.stats.Guests = v.stats.Ready, 0
		if was {
			return v.whole(list)
		}
		return list
	}
	return v.part(list)
}

// enter takes the list over.
func (v *View) enter(now choice.Micros, list *choice.EndpointList) {
	listed := map[choice.ReplicaID]bool{}
	for _, m := range list.Endpoints {
		if list.Kind.Complete() {
			listed[m.Replica] = true
		}
		if m.State == choice.EndpointGone {
			v.remove(m.Replica)
			continue
		}
		v.put(now, m)
	}
	if list.Kind.Complete() {
		for id := range v.fleet {
			if !listed[id] {
				v.remove(id)
			}
		}
	}
	v.heard = v.heard || list.Kind.FromDiscovery()
}

func (v *View) put(now choice.Micros, m choice.Endpoint) {
	was := v.fleet[m.Replica]
	if m.StartedAt == 0 { // not told: long ago, unless it has come since discovery's first list
		switch {
		case was != nil:
			m.StartedAt = was.StartedAt
		case v.heard:
			m.StartedAt = now
		default:
			m.StartedAt = longAgo
		}
	}
	if was == nil {
		v.fleet[m.Replica] = newReplica(m)
		v.regroup = true
		return
	}
	if was.State != m.State || was.Zone != m.Zone {
		v.stale(was.Zone)
		v.stale(m.Zone)
	}
	was.Endpoint = m
}

func (v *View) remove(id choice.ReplicaID) {
	if v.fleet[id] != nil {
		delete(v.fleet, id)
		v.regroup = true
	}
}

// stale has a zone's pool made anew.
func (v *View) stale(zone string) { delete(v.pools, zone) }

// longAgo is the start of a replica that was up before this gateway was. It is not 0, which the
// module would take for no word of a start and hence for a start just now.
const longAgo choice.Micros = 1

// index renews what is worked out from the whole list: all of it where replicas have come or gone,
// else only what has changed.
func (v *View) index() {
	if v.regroup {
		v.sorted = slices.AppendSeq(v.sorted[:0], maps.Values(v.fleet))
		slices.SortFunc(v.sorted, func(a, b *replica) int { return cmp.Compare(a.Replica, b.Replica) })
		clear(v.pools)
		v.regroup = false
	}
	v.stats.Listed, v.stats.Ready = len(v.sorted), 0
	for _, r := range v.sorted {
		if r.State == choice.EndpointReady {
			v.stats.Ready++
		}
	}
}

// pool is the pool of a zone, nil if nothing in it takes work.
func (v *View) pool(zone string) *pool {
	if p, ok := v.pools[zone]; ok {
		return p
	}
	var ready []*replica
	for _, r := range v.sorted {
		if r.Zone == zone && r.State == choice.EndpointReady {
			ready = append(ready, r)
		}
	}
	var p *pool
	if len(ready) > 0 {
		p = newPool(ready)
	}
	v.pools[zone] = p
	return p
}

// part makes the module's list of one that is longer than the bound.
func (v *View) part(list choice.EndpointList) choice.EndpointList {
	v.zones, v.stats.Subset = v.s.choose(v.sorted)
	next := make(map[choice.ReplicaID]choice.Endpoint, v.s.Most)
	for _, r := range v.sorted {
		if _, guest := v.guests[r.Replica]; guest && r.in {
			delete(v.guests, r.Replica)
		} else if !r.in && !guest {
			continue
		}
		next[r.Replica] = r.Endpoint
	}
	maps.DeleteFunc(v.guests, func(id choice.ReplicaID, _ uint64) bool { return v.fleet[id] == nil })
	out := choice.EndpointList{Kind: list.Kind, Version: list.Version, FleetSize: v.stats.Ready}
	for id, m := range next {
		was, told := v.told[id]
		if !told {
			v.stats.Joined++
		}
		if list.Kind.Complete() || !told || was != m {
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	for id, was := range v.told {
		if _, stays := next[id]; stays {
			continue
		}
		v.stats.Left++
		if !list.Kind.Complete() {
			was.State = choice.EndpointGone
			out.Endpoints = append(out.Endpoints, was)
		}
	}
	v.told, v.stats.Guests = next, len(v.guests)
	sortMembers(out.Endpoints)
	return out
}

// whole tells everything, after the list has shrunk to the bound.
func (v *View) whole(list choice.EndpointList) choice.EndpointList {
	clear(v.guests)
	clear(v.told)
	out := choice.EndpointList{Kind: list.Kind, Version: list.Version}
	for _, r := range v.sorted {
		out.Endpoints = append(out.Endpoints, r.Endpoint)
	}
	if !list.Kind.Complete() { // what has gone by this list
		for _, m := range list.Endpoints {
			if m.State == choice.EndpointGone {
				out.Endpoints = append(out.Endpoints, m)
			}
		}
	}
	sortMembers(out.Endpoints)
	return out
}

func sortMembers(list []choice.Endpoint) {
	slices.SortFunc(list, func(a, b choice.Endpoint) int { return cmp.Compare(a.Replica, b.Replica) })
}

// Home sets the home of a request that has come. Where the module has not been told of that replica
// yet, the list that tells it is returned.
func (v *View) Home(now choice.Micros, in *choice.Request) (list choice.EndpointList, tell bool) {
	if !v.active {
		return list, false
	}
	home := v.home(now, in)
	if home == nil {
		return list, false
	}
	v.clock++
	v.invite(home, &list)
	in.HomeReplica = home.Replica
	list.Kind, list.FleetSize = choice.ListOverride, v.stats.Ready
	sortMembers(list.Endpoints)
	return list, len(list.Endpoints) > 0
}

// invite makes sure that the module is told of a replica, and enters what has to be told for it in
// the list.
func (v *View) invite(r *replica, list *choice.EndpointList) {
	_, told := v.told[r.Replica]
	_, guest := v.guests[r.Replica]
	if told && !guest {
		return
	}
	if !guest {
		if len(v.guests) >= v.guestsMost() {
			v.dismiss(list)
		}
		list.Endpoints = append(list.Endpoints, r.Endpoint)
		v.told[r.Replica] = r.Endpoint
	}
	v.guests[r.Replica] = v.clock
	v.stats.Guests = len(v.guests)
}

// guestsMost is how many homes outside of the subset the module is told at once.
func (v *View) guestsMost() int { return max(1, v.s.Most/2) }

// dismiss takes the guest that was not wanted for longest back. What is out there goes on.
func (v *View) dismiss(list *choice.EndpointList) {
	var oldest choice.ReplicaID
	least := uint64(math.MaxUint64)
	for id, at := range v.guests {
		if at < least {
			oldest, least = id, at
		}
	}
	member := v.told[oldest]
	member.State = choice.EndpointGone
	list.Endpoints = append(list.Endpoints, member)
	delete(v.guests, oldest)
	delete(v.told, oldest)
}
