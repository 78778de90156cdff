package endpoint

import (
	"hash/fnv"
	"slices"

	"archknot/balancer"
)

// assignIDs gives each replica its balancer ID. The balancer ranks affinity targets by these IDs, so every
// gateway must assign the same ones in whatever order it learned of the replicas: an ID is a hash of the
// name, and where two names collide, the later one in sort order takes the next hash. It reports whether
// a replica that remains on the list has changed its ID.
func (r *Registry) assignIDs(previous map[string]*Replica) (changed bool) {
	names := make([]string, 0, len(r.byName))
	for name := range r.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	clear(r.byID)
	r.readyCount, r.rehashed = 0, 0
	for _, name := range names {
		id := r.freeID(name)
		if id != hashReplicaID(name, 0) {
			r.rehashed++
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

// freeID returns the first hash of the name that no other replica has.
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
