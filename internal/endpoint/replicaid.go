package endpoint

import (
	"hash/fnv"
	"slices"

	"archknot/balancer"
)

// assignIDs assigns each replica its balancer ID. The balancer ranks affinity targets by ID, so every gateway
// must assign the same IDs, whatever the order in which it received the replicas. Therefore an ID is a hash of
// the name, and if two names collide, the later one in sort order gets its next free hash. assignIDs reports
// whether a replica that remains on the list has a new ID.
func (r *Registry) assignIDs(previous map[string]*Replica) (changed bool) {
	names := make([]string, 0, len(r.byName))
	for name := range r.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	clear(r.byID)
	r.readyCount, r.rehashedCount = 0, 0
	for _, name := range names {
		id := r.freeID(name)
		if id != hashReplicaID(name, 0) {
			r.rehashedCount++
		}
		if before := previous[name]; before != nil && before.ID != id {
			changed = true
		}
		replica := r.byName[name]
		replica.ID = id
		r.byID[id] = replica
		if replica.State() == balancer.EndpointReady {
			r.readyCount++
		}
	}
	return changed
}

// freeID returns the first hash of the name that is not assigned to another replica.
func (r *Registry) freeID(name string) balancer.ReplicaID {
	id := hashReplicaID(name, 0)
	for salt := byte(1); r.byID[id] != nil; salt++ {
		id = hashReplicaID(name, salt)
	}
	return id
}

// hashReplicaID is a variable so that a test can make names collide.
var hashReplicaID = func(name string, salt byte) balancer.ReplicaID {
	h := fnv.New32a()
	h.Write([]byte(name))
	if salt > 0 {
		h.Write([]byte{0, salt})
	}
	return balancer.ReplicaID(h.Sum32())
}
