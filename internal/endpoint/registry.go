// Package endpoint holds the gateway's copy of the endpoint list that discovery sends.
package endpoint

import (
	"maps"
	"slices"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Registry is the endpoint list as the gateway currently has it. It belongs to the gateway's event loop.
type Registry struct {
	version    int64
	byName     map[string]*Replica // by discovery's instanceId
	byID       map[balancer.ReplicaID]*Replica
	readyCount int
	rehashed   int // replicas whose ID is not the first hash of their name
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Replica{}, byID: map[balancer.ReplicaID]*Replica{}}
}

// ByID returns the replica with the balancer's ID, nil if the list has none.
func (r *Registry) ByID(id balancer.ReplicaID) *Replica { return r.byID[id] }

// ByName returns the replica with discovery's instanceId, nil if the list has none.
func (r *Registry) ByName(name string) *Replica { return r.byName[name] }

// Version returns the generation of the list that was applied last.
func (r *Registry) Version() int64 { return r.version }

// Len returns the number of replicas on the list.
func (r *Registry) Len() int { return len(r.byName) }

// ReadyCount returns the number of replicas that accept new attempts.
func (r *Registry) ReadyCount() int { return r.readyCount }

// AssumeStarted sets the start of a replica to now, where discovery sent none.
func (r *Registry) AssumeStarted(name string, now balancer.Micros) {
	if replica := r.byName[name]; replica != nil {
		replica.StartedAt = now
	}
}

// Apply enters a list or a delta. It returns the balancer's form of it and the ConnKeys of the processes
// that have ended or restarted.
//
// sinceOf converts a start from Unix milliseconds to the gateway's clock. It is called once for each start:
// a replica whose start seemed to move by a few microseconds would look like one that has restarted.
func (r *Registry) Apply(list httpwire.EndpointList, kind balancer.ListKind, sinceOf func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	applied := balancer.EndpointList{Kind: kind, Version: list.Generation}
	r.version = list.Generation
	if kind == balancer.ListDelta && r.canApplyInPlace(list) {
		return r.applyInPlace(list, applied, sinceOf)
	}
	return r.rebuild(list, applied, sinceOf)
}

// rebuild applies a list or a delta by assigning all IDs anew.
func (r *Registry) rebuild(list httpwire.EndpointList, applied balancer.EndpointList, sinceOf func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	previous := r.byName
	next := map[string]*Replica{}
	if applied.Kind == balancer.ListDelta {
		maps.Copy(next, previous)
	}
	changed := map[string]*Replica{}
	for _, entry := range list.Endpoints {
		replica := newReplica(entry, previous[entry.ID], sinceOf)
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
		// A delta cannot say that an ID now stands for another replica.
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

// canApplyInPlace reports whether a delta can be applied entry by entry: no two names share an ID before
// or after it.
func (r *Registry) canApplyInPlace(delta httpwire.EndpointList) bool {
	if r.rehashed > 0 {
		return false
	}
	names := make(map[balancer.ReplicaID]string, len(delta.Endpoints))
	for _, entry := range delta.Endpoints {
		id := hashReplicaID(entry.ID, 0)
		if replica := r.byID[id]; replica != nil && replica.Endpoint.ID != entry.ID {
			return false
		}
		if name, ok := names[id]; ok && name != entry.ID {
			return false
		}
		names[id] = entry.ID
	}
	return true
}

// applyInPlace applies a delta entry by entry, so that its cost follows the size of the delta and not that
// of the list.
func (r *Registry) applyInPlace(delta httpwire.EndpointList, applied balancer.EndpointList, sinceOf func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	before := map[string]*Replica{} // the changed replicas as they were before the delta
	after := map[string]*Replica{}
	for _, entry := range delta.Endpoints {
		previous := r.byName[entry.ID]
		if _, seen := before[entry.ID]; !seen {
			before[entry.ID] = previous
		}
		replica := newReplica(entry, previous, sinceOf)
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

// replace puts a replica in the place of its previous entry, nil if there is none.
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
