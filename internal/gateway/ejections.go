package gateway

import (
	"maps"
	"slices"
	"sync"
)

const (
	// maxPendingEjections bounds the ejections that wait for discovery's first answer.
	maxPendingEjections = 64
	// maxReplicaIDHistory bounds the recorded ids of listed replicas; the oldest are evicted
	// first.
	maxReplicaIDHistory = 16384
)

// pendingEjections are the replicas that operators ejected before discovery answered, when it
// is not known yet whether these replicas exist. The zero value is empty; any goroutine may
// call its methods.
type pendingEjections struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add adds an ejection, and reports false if maxPendingEjections are pending.
func (p *pendingEjections) add(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids == nil {
		p.ids = map[string]struct{}{}
	}
	if len(p.ids) >= maxPendingEjections {
		return false
	}
	p.ids[id] = struct{}{}
	return true
}

func (p *pendingEjections) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

func (p *pendingEjections) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.ids[id]
	return ok
}

func (p *pendingEjections) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.ids))
}

// addTo returns the ejected replicas with the pending ones. It does not modify the map.
func (p *pendingEjections) addTo(ejected map[string]struct{}) map[string]struct{} {
	pending := p.all()
	if len(pending) == 0 {
		return ejected
	}
	out := maps.Clone(ejected)
	for _, id := range pending {
		out[id] = struct{}{}
	}
	return out
}

// replicaIDHistory records the ids of the replicas that lists had in this process, up to
// maxReplicaIDHistory. The zero value is empty; any goroutine may call its methods.
type replicaIDHistory struct {
	mu    sync.Mutex
	known map[string]struct{}
	ring  []string // in the order of listing
	next  int      // index of the oldest id, once the ring is full
}

func (h *replicaIDHistory) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.known[id]; known {
		return
	}
	if h.known == nil {
		h.known = map[string]struct{}{}
	}
	h.known[id] = struct{}{}
	if len(h.ring) < maxReplicaIDHistory {
		h.ring = append(h.ring, id)
		return
	}
	delete(h.known, h.ring[h.next])
	h.ring[h.next] = id
	h.next = (h.next + 1) % maxReplicaIDHistory
}

func (h *replicaIDHistory) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.known[id]
	return known
}
