package gateway

import (
	"time"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/subset"
)

// Values of an endpoint's lifecycle in discovery's list.
const (
	lifecycleReady    = "ready"
	lifecycleDraining = "draining"
)

// endpointTracker holds discovery's endpoint list and this gateway's own exclusions: replicas
// that a configuration version drains or that operators ejected get no new work, whatever
// their state in the list. The event loop owns it.
type endpointTracker struct {
	*endpoint.Registry
	selector     *subset.Selector             // selects the part of the list that the decision module gets
	receivedAt   time.Time                    // when a list or a change was last applied
	listed       map[string]httpwire.Endpoint // discovery's own list, without marks and ejections
	drainMarks   map[string]bool              // replicas that a configuration version drains
	ejected      map[string]struct{}          // replicas that operators ejected
	ejectedStart map[string]int64             // start times of ejected replicas when first seen as ejected
}

func newEndpointTracker(settings subset.Settings, stats subset.PrefixStats) endpointTracker {
	return endpointTracker{
		Registry:     endpoint.NewRegistry(),
		selector:     subset.NewSelector(settings, stats),
		listed:       map[string]httpwire.Endpoint{},
		ejectedStart: map[string]int64{},
	}
}

// fillPartialEntries completes a list's partial entries with the last entries of their
// replicas. Partial entries of unknown replicas are left out.
func (t *endpointTracker) fillPartialEntries(in httpwire.EndpointList) httpwire.EndpointList {
	if in.InvalidEntryCount == 0 {
		return in
	}
	out := in
	out.Endpoints = nil
	for _, entry := range in.Endpoints {
		if entry.Partial {
			known, ok := t.listed[entry.ID]
			if !ok {
				continue
			}
			entry = entry.ApplyStateTo(known)
		}
		out.Endpoints = append(out.Endpoints, entry)
	}
	return out
}

// overlayExclusions stores discovery's list, and returns a copy in which excluded replicas are
// draining.
func (t *endpointTracker) overlayExclusions(in httpwire.EndpointList, kind balancer.ListKind) httpwire.EndpointList {
	if kind != balancer.ListDelta {
		clear(t.listed)
	}
	out := in
	out.Endpoints = make([]httpwire.Endpoint, len(in.Endpoints))
	for i, entry := range in.Endpoints {
		if entry.State() == balancer.EndpointRemoved {
			delete(t.listed, entry.ID)
		} else {
			t.listed[entry.ID] = entry
		}
		if t.isExcluded(entry.ID) && entry.State() == balancer.EndpointReady {
			entry.Lifecycle = lifecycleDraining
		}
		out.Endpoints[i] = entry
	}
	return out
}

// isExcluded reports whether the configuration version in force or operators exclude a replica
// from new work.
func (t *endpointTracker) isExcluded(id string) bool {
	_, ejected := t.ejected[id]
	return ejected || t.drainMarks[id]
}

// setExclusions replaces the marks and ejections. It returns the entries of the replicas that
// are now excluded and were not, or the reverse.
func (t *endpointTracker) setExclusions(marks map[string]bool, ejected map[string]struct{}) httpwire.EndpointList {
	before := map[string]bool{}
	for id := range t.listed {
		before[id] = t.isExcluded(id)
	}
	t.drainMarks, t.ejected = marks, ejected
	change := httpwire.EndpointList{Generation: t.Version()}
	for id, entry := range t.listed {
		if before[id] != t.isExcluded(id) {
			change.Endpoints = append(change.Endpoints, entry)
		}
	}
	return change
}

// assumeReinstatedRestarted treats replicas that are no longer ejected as started just now,
// unless the list has a new start time for them. An ejected replica was usually restarted, and
// the list may not show that yet. A replica that is warming up fails under the load of a warm one.
func (t *endpointTracker) assumeReinstatedRestarted(ejected map[string]struct{}, now balancer.Micros) {
	for id := range t.ejected {
		if _, still := ejected[id]; still {
			continue
		}
		if start, seen := t.ejectedStart[id]; seen && t.listed[id].StartedAtMs == start {
			t.AssumeStarted(id, now)
		}
		delete(t.ejectedStart, id)
	}
}

// recordEjectedStarts stores the start times of newly ejected replicas.
func (t *endpointTracker) recordEjectedStarts() {
	for id := range t.ejected {
		if _, seen := t.ejectedStart[id]; seen {
			continue
		}
		if entry, listed := t.listed[id]; listed {
			t.ejectedStart[id] = entry.StartedAtMs
		}
	}
}

// hasEjectedReady reports whether an ejected replica is listed as ready. The gateway counts as
// ready then, even if operators have ejected all replicas.
func (t *endpointTracker) hasEjectedReady() bool {
	for id := range t.ejected {
		if entry, listed := t.listed[id]; listed && entry.Lifecycle == lifecycleReady {
			return true
		}
	}
	return false
}
