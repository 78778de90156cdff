package httpwire

import (
	"fmt"

	"archknot/balancer"
)

// EndpointList is the endpoint list in a response of discovery, or the initial list of the configuration.
type EndpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // Endpoints is the complete list, not a list of changes
	Endpoints  []Endpoint `json:"instances"`

	InvalidEntries    []InvalidEntry `json:"-"` // the first maxReportedEntries of them
	InvalidEntryCount int            `json:"-"` // all of them
}

// Endpoint is one replica as discovery lists it.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0: unknown, treated as long ago

	// Partial marks an invalid entry of which only ID and Lifecycle can be used.
	Partial bool `json:"-"`
}

// The values of Endpoint.Lifecycle that are not treated as draining.
const (
	lifecycleReady = "ready"
	lifecycleGone  = "gone"
)

// State returns the replica's state. Any unknown lifecycle counts as draining, so that the replica gets no new
// requests: sending requests to a replica that cannot serve them does more harm than not using it.
func (e Endpoint) State() balancer.EndpointState {
	switch e.Lifecycle {
	case lifecycleReady:
		return balancer.EndpointReady
	case lifecycleGone:
		return balancer.EndpointRemoved
	}
	return balancer.EndpointDraining
}

// NoGeneration is the generation before the first list. It is not 0, which is the generation of a list: a watch call
// without a generation is answered at once with the complete list, so the watch would become a busy loop.
const NoGeneration = -1

// ListQuery returns the path and query of a call to discovery. If since is NoGeneration, the call requests the
// complete list. Otherwise it requests the changes since that generation, for which discovery may delay its response
// by up to waitMs milliseconds.
func ListQuery(since, waitMs int64) string {
	if since < 0 {
		return ListPath
	}
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", ListPath, since, waitMs)
}

// ApplyStateTo returns known, the replica's previous entry, with the lifecycle of this partial entry. A missing
// lifecycle or "ready" is not applied, because an invalid entry may only take a replica out of use.
func (e Endpoint) ApplyStateTo(known Endpoint) Endpoint {
	if e.Lifecycle != "" && e.Lifecycle != lifecycleReady {
		known.Lifecycle = e.Lifecycle
	}
	return known
}
