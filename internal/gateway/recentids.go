package gateway

import (
	"time"

	"archknot/balancer"
)

const (
	// recentIDPeriod is how long the id of an ended request is remembered that must not run again.
	recentIDPeriod = time.Minute
	// maxRecentIDs bounds the remembered ids; the oldest are forgotten first.
	maxRecentIDs = 4096
)

// recentIDs remembers the client-assigned ids of ended requests that may have run and must not run again. It is not safe
// for concurrent use.
type recentIDs struct {
	expiresAt map[string]balancer.Micros
	queue     []string // in the order of their addition, so also of their expiry
}

func (r *recentIDs) add(now balancer.Micros, id string) {
	if r.has(now, id) {
		return
	}
	if r.expiresAt == nil {
		r.expiresAt = map[string]balancer.Micros{}
	}
	for len(r.queue) >= maxRecentIDs {
		r.forgetOldest()
	}
	r.expiresAt[id] = now + recentIDPeriod.Microseconds()
	r.queue = append(r.queue, id)
}

// has reports whether an id is remembered, and forgets the expired ones.
func (r *recentIDs) has(now balancer.Micros, id string) bool {
	for len(r.queue) > 0 && r.expiresAt[r.queue[0]] <= now {
		r.forgetOldest()
	}
	_, remembered := r.expiresAt[id]
	return remembered
}

func (r *recentIDs) forgetOldest() {
	delete(r.expiresAt, r.queue[0])
	r.queue[0] = "" // the array may live on after the slice has moved past this element
	r.queue = r.queue[1:]
}
