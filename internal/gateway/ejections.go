package gateway

import (
	"maps"
	"slices"
	"sync"
)

// maxPendingEjections bounds the ejections that wait for discovery's first answer.
const maxPendingEjections = 64

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
