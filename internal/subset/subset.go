// Package subset bounds the part of a large fleet that a gateway works with. Every gateway works out
// the same rule from what it is told anyway: its own index and zone, and discovery's list. Gateways
// do not talk, and none keeps a table of the others.
//
// Each replica has a fixed position on a ring of its zone, and each gateway a window on every ring.
// A replica is in the gateway's subset while its position lies in the window. Positions follow from
// the replica's name and windows from the gateway's index, so a replica that comes or goes moves no
// other one. Windows begin at multiples of irrational numbers, which spread any run of indexes
// evenly: all replicas are in nearly the same number of subsets.
//
// See docs/design/subsets.md.
package subset

import (
	"cmp"
	"math"
	"slices"

	"archknot/choice"
)

// Defaults of the settings.
const (
	DefaultMost   = 128
	DefaultRemote = 0.25
)

// Settings are what a gateway's subset is worked out from, beside the list.
type Settings struct {
	Most     int           // replicas a gateway works with; lists up to it pass whole; 0: all pass whole
	Index    int           // this gateway's number
	Gateways int           // how many there are; 0: not told
	Zone     string        // its zone; "": none
	Remote   float64       // part of the subset that is taken from all zones alike
	Weighted bool          // weights in the list are sizes: twice the weight is in twice as many subsets
	ColdFor  choice.Micros // how long a replica is in slow start
}

// leastSharers is how many gateways have a replica in their subsets in the mean, at least. With fewer
// some replicas are in no subset and others in twice as many as the mean.
const leastSharers = 16

// bound is how many replicas of so many a subset has at most: more than Most where there are few
// gateways for them.
func (s *Settings) bound(listed int) int {
	if s.Gateways <= 0 {
		return s.Most
	}
	needed := float64(leastSharers) * float64(listed) / float64(s.Gateways)
	return max(s.Most, int(math.Ceil(needed/usualPart)))
}

// usualPart is the part of the bound that a subset has in the mean, a margin, for the number in a window
// scatters; and leastPart the part that takes work at least, where there are so many.
const usualPart, leastPart = 0.8, 0.4

// replica is one of the list as the view holds it.
type replica struct {
	choice.Endpoint
	hash     uint64
	position float64 // on its ring, from 0 to 1
	ring     int
	zone     *zone   // nil: one of which nothing takes work
	width    float64 // of this gateway's window for it, at a scale of 1
	offset   float64 // how far behind the window's beginning it lies
	in       bool    // it is in the subset
}

func newReplica(m choice.Endpoint) *replica {
	r := &replica{Endpoint: m, hash: hash(uint64(m.Replica))}
	r.position = unit(r.hash)
	r.ring = int(hash(r.hash) % rings)
	return r
}

// size is the replica's weight against others.
func (r *replica) size(weighted bool) float64 {
	if !weighted || r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// choose marks the replicas that are in the subset. It returns the list by zones, and how many of the
// subset take work.
func (s *Settings) choose(fleet []*replica) (zones *zoneTable, ready int) {
	zones = s.zones(fleet)
	most := s.bound(len(fleet))
	usual := usualPart * float64(most)
	s.place(fleet, usual)
	scale := scaleTo(fleet, min(usual, float64(zones.ready)))
	for range widenMost {
		ready = mark(fleet, scale)
		if want := min(max(1, int(leastPart*float64(most))), zones.ready); ready >= want {
			break
		}
		scale *= widen // few that take work are in reach: another part of the fleet has to do
	}
	if ready > most {
		ready = trim(fleet, most)
	}
	return zones, ready
}

// widen is the factor by which windows grow while too few replicas in them take work, and widenMost
// how often: by then a window of any share has the whole ring.
const widen, widenMost = 1.5, 64

// place sets where each replica lies by this gateway's windows.
func (s *Settings) place(fleet []*replica, usual float64) {
	for _, r := range fleet {
		if r.zone == nil {
			r.width, r.offset = 0, 0
			continue
		}
		r.width = usual * r.zone.share * r.size(s.Weighted) / r.zone.weight
		offset := r.position - r.zone.starts[r.ring]
		r.offset = offset - math.Floor(offset)
	}
}

// mark sets which replicas lie in their windows and counts those of them that take work.
func mark(fleet []*replica, scale float64) (ready int) {
	for _, r := range fleet {
		r.in = r.offset < scale*r.width
		if r.in && r.State == choice.EndpointReady {
			ready++
		}
	}
	return ready
}

// scaleTo is the factor on all windows by which the subset has a size in the mean. It is 1 unless a
// zone is too small for its part.
func scaleTo(fleet []*replica, want float64) float64 {
	expected := func(scale float64) (sum float64) {
		for _, r := range fleet {
			if r.State == choice.EndpointReady {
				sum += min(1, scale*r.width)
			}
		}
		return sum
	}
	const close = 1 - 1e-9
	low, high := 1.0, 1.0
	for range 60 {
		if expected(high) >= want*close {
			break
		}
		low, high = high, 2*high
	}
	if high == 1 {
		return 1
	}
	for range 40 {
		if middle := (low + high) / 2; expected(middle) >= want*close {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// trim takes those that lie last in their windows out of the subset, down to the bound.
func trim(fleet []*replica, most int) (ready int) {
	var in []*replica
	for _, r := range fleet {
		if r.in && r.State == choice.EndpointReady {
			in = append(in, r)
		}
	}
	place := func(r *replica) float64 { return r.offset / r.width }
	slices.SortFunc(in, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a.Replica, b.Replica))
	})
	for _, r := range in[most:] {
		r.in = false
	}
	return most
}

// rings is how many rings a zone has. On one ring the same gateways would be neighbours everywhere,
// and a crowded place would have the same subsets in all of their windows.
const rings = 8

// steps are the distances between the windows of successive indexes on each ring: irrational numbers,
// whose multiples spread evenly over the ring. These were searched for among the square roots up to
// that of 4,000: theirs do so also where only every n-th index is taken, for n up to 24, as when
// gateways are dealt to zones in turn.
var steps = [rings]float64{math.Sqrt(1845), math.Sqrt(3427), math.Sqrt(463), math.Sqrt(3340), math.Sqrt(1178), math.Sqrt(1737),
	math.Sqrt(347), math.Sqrt(2514)}
