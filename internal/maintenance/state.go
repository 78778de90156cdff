// Package maintenance keeps what operators have ordered of a gateway: the replicas that they have
// taken out, and whether the gateway itself is drained. Orders outlive the process: they are saved in
// a file, and a process that is started beside its predecessor takes them over from it.
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
	// formatVersion is the version of the saved form. A later one may add fields, which are skipped.
	formatVersion = 1
	// maxOrders bounds the orders that are remembered, and maxReplicaIDLength a replica's name.
	maxOrders          = 4096
	maxReplicaIDLength = 256
	// maxStateBytes bounds the saved form.
	maxStateBytes = 4 << 20
)

// order is the last word on one subject. Orders are numbered, not dated: the clock may be stepped.
type order struct {
	Number uint64 `json:"number"`
	Active bool   `json:"on"` // the replica is out, or the gateway drained
}

// supersedes tells whether o counts and not p. Of two with the same number, given to two processes at
// once, the one that takes out counts.
func (o order) supersedes(p order) bool {
	return o.Number > p.Number || o.Number == p.Number && o.Active && !p.Active
}

// state is all that was ordered. Merging two states gives the same whatever their order.
type state struct {
	Format   int              `json:"format"`
	Drain    order            `json:"drain"`
	Replicas map[string]order `json:"replicas"` // by id; those put back stand there too, to outlast older orders
}

func newState() state { return state{Format: formatVersion, Replicas: map[string]order{}} }

// parseState reads a saved state.
func parseState(text []byte) (state, error) {
	s := state{}
	if err := json.Unmarshal(text, &s); err != nil {
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

func (s state) marshal() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // numbers and words
	}
	return append(text, '\n')
}

func (s state) clone() state {
	s.Replicas = maps.Clone(s.Replicas)
	return s
}

func (s state) equal(o state) bool { return s.Drain == o.Drain && maps.Equal(s.Replicas, o.Replicas) }

// merge takes over what counts of another state, and tells whether anything did.
func (s *state) merge(o state) (changed bool) {
	if o.Drain.supersedes(s.Drain) {
		s.Drain, changed = o.Drain, true
	}
	for id, theirs := range o.Replicas {
		if ours, ok := s.Replicas[id]; !ok || theirs.supersedes(ours) {
			s.Replicas[id], changed = theirs, true
		}
	}
	s.trimReinstated()
	return changed
}

// nextNumber is the number of a new order.
func (s *state) nextNumber() uint64 {
	highest := s.Drain.Number
	for _, o := range s.Replicas {
		highest = max(highest, o.Number)
	}
	return highest + 1
}

// ErrTooManyEjected says that no further replica can be taken out.
var ErrTooManyEjected = errors.New("too many replicas are out")

// setEjected enters a new order for a replica.
func (s *state) setEjected(id string, out bool) error {
	if _, known := s.Replicas[id]; !known && out && s.ejectedCount() >= maxOrders {
		return ErrTooManyEjected
	}
	s.Replicas[id] = order{Number: s.nextNumber(), Active: out}
	s.trimReinstated()
	return nil
}

// ejectedCount counts the replicas that are out.
func (s *state) ejectedCount() (n int) {
	for _, o := range s.Replicas {
		if o.Active {
			n++
		}
	}
	return n
}

// trimReinstated forgets the oldest orders that put replicas back, past the bound.
func (s *state) trimReinstated() {
	over := len(s.Replicas) - maxOrders
	if over <= 0 {
		return
	}
	var back []string
	for id, o := range s.Replicas {
		if !o.Active {
			back = append(back, id)
		}
	}
	slices.SortFunc(back, func(a, b string) int { return cmp.Compare(s.Replicas[a].Number, s.Replicas[b].Number) })
	for _, id := range back[:min(over, len(back))] {
		delete(s.Replicas, id)
	}
}
