package maintenance

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

const (
	// formatVersion is the version of the file format. A later version may add fields, which are skipped.
	formatVersion = 1
	// maxOrders bounds the number of replicas with a stored order.
	maxOrders = 4096
	// maxReplicaIDLength bounds the length of a replica's id, in bytes.
	maxReplicaIDLength = 256
	// maxStateBytes bounds the size of a state in the file format.
	maxStateBytes = 4 << 20
)

// ErrTooManyEjected is returned for an order to eject a replica when maxOrders are ejected already.
var ErrTooManyEjected = errors.New("too many replicas are out")

// order is the newest maintenance order on a replica or on the gateway itself. Orders have sequence numbers
// and not timestamps, because the clock may be stepped.
type order struct {
	Number uint64 `json:"number"`
	Active bool   `json:"on"` // the replica is ejected, or the gateway drained
}

// supersedes reports whether o takes precedence over other. Concurrent orders to two processes can have the
// same number; then the active one takes precedence.
func (o order) supersedes(other order) bool {
	if o.Number != other.Number {
		return o.Number > other.Number
	}
	return o.Active && !other.Active
}

// state is the set of all orders. Merging states gives the same result in any sequence. A state is not safe
// for concurrent use.
type state struct {
	Format int   `json:"format"`
	Drain  order `json:"drain"`
	// Replicas holds the latest order on each replica, by id. Orders to reinstate a replica are kept, to
	// supersede older orders of other processes.
	Replicas map[string]order `json:"replicas"`
	// Listed has the ids of the replicas that discovery has listed. It is set only in a state that is read or
	// written; in between a Store keeps them in listedReplicas. Earlier versions skip it.
	Listed []string `json:"listed,omitempty"`
}

func newState() state { return state{Format: formatVersion, Replicas: map[string]order{}} }

// parseState parses the file format. On an error it returns an empty state.
func parseState(content []byte) (state, error) {
	var s state
	if err := json.Unmarshal(content, &s); err != nil {
		return newState(), err
	}
	if s.Format < formatVersion {
		return newState(), fmt.Errorf("format %d, expected %d or later", s.Format, formatVersion)
	}
	if s.Replicas == nil {
		s.Replicas = map[string]order{}
	}
	if len(s.Replicas) > maxOrders {
		return newState(), fmt.Errorf("%d orders, expected %d at most", len(s.Replicas), maxOrders)
	}
	s.Format = formatVersion
	return s, nil
}

// marshal returns the state in the file format: one line of JSON.
func (s state) marshal() []byte {
	content, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: the state has only numbers, booleans and strings
	}
	return append(content, '\n')
}

func (s state) clone() state {
	s.Replicas = maps.Clone(s.Replicas)
	return s
}

// equal reports whether two states have the same orders.
func (s state) equal(other state) bool {
	return s.Drain == other.Drain && maps.Equal(s.Replicas, other.Replicas)
}

// merge adopts the orders of another state that supersede those of s, and reports whether any did.
func (s *state) merge(other state) (changed bool) {
	if other.Drain.supersedes(s.Drain) {
		s.Drain = other.Drain
		changed = true
	}
	for id, theirs := range other.Replicas {
		if ours, ok := s.Replicas[id]; !ok || theirs.supersedes(ours) {
			s.Replicas[id] = theirs
			changed = true
		}
	}
	s.trimReinstated()
	return changed
}

// nextNumber returns the number of a new order: one above the highest in the state.
func (s *state) nextNumber() uint64 {
	highest := s.Drain.Number
	for _, o := range s.Replicas {
		highest = max(highest, o.Number)
	}
	return highest + 1
}

// setDrained records a new order on the gateway itself.
func (s *state) setDrained(drained bool) {
	s.Drain = order{Number: s.nextNumber(), Active: drained}
}

// setEjected records a new order to eject or reinstate a replica. The only error is ErrTooManyEjected.
func (s *state) setEjected(id string, ejected bool) error {
	_, known := s.Replicas[id]
	if !known && ejected && s.ejectedCount() >= maxOrders {
		return ErrTooManyEjected
	}
	s.Replicas[id] = order{Number: s.nextNumber(), Active: ejected}
	s.trimReinstated()
	return nil
}

func (s *state) ejectedCount() int {
	count := 0
	for _, o := range s.Replicas {
		if o.Active {
			count++
		}
	}
	return count
}

// ejected returns the ids of the ejected replicas.
func (s *state) ejected() map[string]struct{} {
	ids := map[string]struct{}{}
	for id, o := range s.Replicas {
		if o.Active {
			ids[id] = struct{}{}
		}
	}
	return ids
}

// trimReinstated removes the oldest orders on reinstated replicas while there are more than maxOrders
// orders.
func (s *state) trimReinstated() {
	excess := len(s.Replicas) - maxOrders
	if excess <= 0 {
		return
	}
	var reinstated []string
	for id, o := range s.Replicas {
		if !o.Active {
			reinstated = append(reinstated, id)
		}
	}
	slices.SortFunc(reinstated, func(a, b string) int { return cmp.Compare(s.Replicas[a].Number, s.Replicas[b].Number) })
	for _, id := range reinstated[:min(excess, len(reinstated))] {
		delete(s.Replicas, id)
	}
}
