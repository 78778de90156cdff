// Package endpoint holds the gateway's copy of the endpoint list that discovery sends.
package endpoint

import (
	"maps"
	"slices"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Registry is the gateway's current endpoint list. Only the gateway's event loop may use it.
type Registry struct {
	version       int64
	byName        map[string]*Replica // key: discovery's instanceId
	byID          map[balancer.ReplicaID]*Replica
	readyCount    int
	rehashedCount int // replicas whose ID is not the first hash of their name
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Replica{}, byID: map[balancer.ReplicaID]*Replica{}}
}

// ByID returns the replica with a balancer ID, nil if it is not on the list.
func (r *Registry) ByID(id balancer.ReplicaID) *Replica { return r.byID[id] }

// ByName returns the replica with an instanceId of discovery, nil if it is not on the list.
func (r *Registry) ByName(name string) *Replica { return r.byName[name] }

// Version returns the generation of the list or delta that was applied last.
func (r *Registry) Version() int64 { return r.version }

// Len returns the number of replicas on the list.
func (r *Registry) Len() int { return len(r.byName) }

// ReadyCount returns the number of replicas that accept new attempts.
func (r *Registry) ReadyCount() int { return r.readyCount }

// AssumeStarted sets the start time of a listed replica to now. It is for entries without a start time.
func (r *Registry) AssumeStarted(name string, now balancer.Micros) {
	if replica := r.byName[name]; replica != nil {
		replica.StartedAt = now
	}
}

// Apply applies a list or a delta. It returns the balancer's form of it and the ConnKeys of the processes
// that have ended or restarted.
//
// toGatewayTime converts a start time from Unix milliseconds to the gateway's clock. It is called once per
// start: a second conversion could differ by a few microseconds, and the replica would seem to have restarted.
func (r *Registry) Apply(list httpwire.EndpointList, kind balancer.ListKind, toGatewayTime func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	applied := balancer.EndpointList{Kind: kind, Version: list.Generation}
	r.version = list.Generation
	if kind == balancer.ListDelta && r.canApplyInPlace(list) {
		return r.applyInPlace(list, applied, toGatewayTime)
	}
	return r.rebuild(list, applied, toGatewayTime)
}

// rebuild applies a list or a delta, and reassigns the IDs of all replicas.
func (r *Registry) rebuild(list httpwire.EndpointList, applied balancer.EndpointList, toGatewayTime func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	previous := r.byName
	next := map[string]*Replica{}
	if applied.Kind == balancer.ListDelta {
		maps.Copy(next, previous)
	}
	changed := map[string]*Replica{}
	for _, entry := range list.Endpoints {
		replica := newReplica(entry, previous[entry.ID], toGatewayTime)
		changed[entry.ID] = replica
		if replica.State() == balancer.EndpointRemoved {
			delete(next, entry.ID)
		} else {
			next[entry.ID] = replica
		}
	}
	retiredKeys := []string{}
	for name, before := range previous {
		if key, retired := retire(before, next[name]); retired {
			retiredKeys = append(retiredKeys, key)
		}
	}
	r.byName = next
	idsChanged := r.assignIDs(previous)
	if idsChanged && applied.Kind == balancer.ListDelta {
		// A delta cannot express that an ID moved to another replica, so the balancer gets the full list.
		applied.Kind, changed = balancer.ListFull, next
	}
	for name, replica := range changed {
		if replica.State() == balancer.EndpointRemoved {
			if previous[name] == nil {
				continue
			}
			replica.ID = previous[name].ID
		}
		applied.Endpoints = append(applied.Endpoints, replica.balancerEndpoint())
	}
	sortByReplica(applied.Endpoints)
	return applied, retiredKeys
}

// canApplyInPlace reports whether a delta can be applied entry by entry. It can if no two names have the same
// first hash before or after the delta.
func (r *Registry) canApplyInPlace(delta httpwire.EndpointList) bool {
	if r.rehashedCount > 0 {
		return false
	}
	namesByID := make(map[balancer.ReplicaID]string, len(delta.Endpoints))
	for _, entry := range delta.Endpoints {
		id := hashReplicaID(entry.ID, 0)
		if replica := r.byID[id]; replica != nil && replica.Endpoint.ID != entry.ID {
			return false
		}
		if name, ok := namesByID[id]; ok && name != entry.ID {
			return false
		}
		namesByID[id] = entry.ID
	}
	return true
}

// applyInPlace applies a delta entry by entry, so that its cost depends on the size of the delta and not on
// that of the list.
func (r *Registry) applyInPlace(delta httpwire.EndpointList, applied balancer.EndpointList, toGatewayTime func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	before := map[string]*Replica{} // the changed replicas before the delta; nil if not listed
	after := map[string]*Replica{}
	for _, entry := range delta.Endpoints {
		previous := r.byName[entry.ID]
		if _, seen := before[entry.ID]; !seen {
			before[entry.ID] = previous
		}
		replica := newReplica(entry, previous, toGatewayTime)
		replica.ID = hashReplicaID(entry.ID, 0)
		after[entry.ID] = replica
		r.replace(previous, replica)
	}
	var retiredKeys []string
	for name, previous := range before {
		current := r.byName[name]
		if key, retired := retire(previous, current); retired {
			retiredKeys = append(retiredKeys, key)
		}
		if current != nil || previous != nil {
			applied.Endpoints = append(applied.Endpoints, after[name].balancerEndpoint())
		}
	}
	sortByReplica(applied.Endpoints)
	return applied, retiredKeys
}

// replace replaces a replica's previous entry, which is nil if there is none.
func (r *Registry) replace(previous, replica *Replica) {
	if previous != nil && previous.State() == balancer.EndpointReady {
		r.readyCount--
	}
	if replica.State() == balancer.EndpointRemoved {
		delete(r.byName, replica.Endpoint.ID)
		delete(r.byID, replica.ID)
		return
	}
	if replica.State() == balancer.EndpointReady {
		r.readyCount++
	}
	r.byName[replica.Endpoint.ID] = replica
	r.byID[replica.ID] = replica
}

func sortByReplica(endpoints []balancer.Endpoint) {
	slices.SortFunc(endpoints, func(a, b balancer.Endpoint) int { return int(int64(a.Replica) - int64(b.Replica)) })
}
