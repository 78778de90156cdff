package httpwire

import (
	"fmt"

	"archknot/balancer"
)

// EndpointList is the registry's answer, and the saved list of the configuration.
type EndpointList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the whole list, not changes
	Endpoints  []Endpoint `json:"instances"`

	InvalidEntries    []InvalidEntry `json:"-"` // the first of its odd entries
	InvalidEntryCount int            `json:"-"` // and how many there are
}

// Endpoint is one worker as the registry names it.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0: long ago

	// Partial says that of an odd entry only the id and the state could be read.
	Partial bool `json:"-"`
}

// Words of an entry's state.
const (
	lifecycleReady = "ready"
	lifecycleGone  = "gone"
)

// State is the worker's state. A word that is not known gets nothing new, as
// one that drains: sending would be the graver mistake.
func (i Endpoint) State() balancer.EndpointState {
	switch i.Lifecycle {
	case lifecycleReady:
		return balancer.EndpointReady
	case lifecycleGone:
		return balancer.EndpointGone
	}
	return balancer.EndpointDraining
}

// NoGeneration stands for having no list yet. A version of 0 is a list: taken for
// none, each watch call was answered at once with the whole list.
const NoGeneration = -1

// ListQuery asks for the whole list, or with a version for what has changed
// since, waiting so many milliseconds for it.
func ListQuery(since, waitMs int64) string {
	if since < 0 {
		return ListPath
	}
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", ListPath, since, waitMs)
}

// ApplyStateTo is what an odd entry makes of the one that was known before: its state holds, unless it says
// nothing worse of the replica than what was known.
func (i Endpoint) ApplyStateTo(known Endpoint) Endpoint {
	if i.Lifecycle != "" && i.Lifecycle != lifecycleReady {
		known.Lifecycle = i.Lifecycle
	}
	return known
}
