package httpwire

import (
	"fmt"

	"archknot/balancer"
)

// EndpointList is discovery's answer, and the initial list of the configuration.
type EndpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete, not a list of changes
	Endpoints  []Endpoint `json:"instances"`

	InvalidEntries    []InvalidEntry `json:"-"` // the first of them, at most maxReportedEntries
	InvalidEntryCount int            `json:"-"`
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
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0: not known, long ago

	// Partial says that only the id and the state of an invalid entry can be used.
	Partial bool `json:"-"`
}

// Values of Endpoint.Lifecycle with a meaning of their own.
const (
	lifecycleReady = "ready"
	lifecycleGone  = "gone"
)

// State returns the replica's state. A replica with an unknown lifecycle is taken for draining and gets no new
// requests: sending it one would be the graver mistake.
func (e Endpoint) State() balancer.EndpointState {
	switch e.Lifecycle {
	case lifecycleReady:
		return balancer.EndpointReady
	case lifecycleGone:
		return balancer.EndpointRemoved
	}
	return balancer.EndpointDraining
}

// NoGeneration stands for having no list yet. Generation 0 is a list: when it was taken for none, each watch call
// was answered at once with the complete list.
const NoGeneration = -1

// ListQuery returns the path and query of a call that asks for the complete list, or given a generation, for the
// changes since; discovery may hold the call for waitMs milliseconds until there are any.
func ListQuery(since, waitMs int64) string {
	if since < 0 {
		return ListPath
	}
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", ListPath, since, waitMs)
}

// ApplyStateTo returns the endpoint that was known before with the state of this partial entry, unless that says
// the replica is ready: an invalid entry may only take a replica out of use.
func (e Endpoint) ApplyStateTo(known Endpoint) Endpoint {
	if e.Lifecycle != "" && e.Lifecycle != lifecycleReady {
		known.Lifecycle = e.Lifecycle
	}
	return known
}
