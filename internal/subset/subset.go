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

	"archknot/balancer"
)

// Defaults of the settings.
const (
	DefaultMaxReplicas    = 128
	DefaultRemoteFraction = 0.25
)

// Settings are what a gateway's subset is worked out from, beside the list.
type Settings struct {
	MaxReplicas    int             // replicas a gateway works with; lists up to it pass whole; 0: all pass whole
	GatewayIndex   int             // this gateway's number
	GatewayCount   int             // how many there are; 0: not told
	Zone           string          // its zone; "": none
	RemoteFraction float64         // part of the subset that is taken from all zones alike
	WeightIsSize   bool            // weights in the list are sizes: twice the weight is in twice as many subsets
	SlowStart      balancer.Micros // how long a replica is in slow start
}

// minGatewaysPerReplica is how many gateways have a replica in their subsets in the mean, at least. With fewer
// some replicas are in no subset and others in twice as many as the mean.
const minGatewaysPerReplica = 16

// sizeLimit is how many replicas of so many a subset has at most: more than Most where there are few
// gateways for them.
func (s *Settings) sizeLimit(listed int) int {
	if s.GatewayCount <= 0 {
		return s.MaxReplicas
	}
	needed := float64(minGatewaysPerReplica) * float64(listed) / float64(s.GatewayCount)
	return max(s.MaxReplicas, int(math.Ceil(needed/meanFill)))
}

// meanFill is the part of the bound that a subset has in the mean, a margin, for the number in a window
// scatters; and minReadyFraction the part that takes work at least, where there are so many.
const meanFill, minReadyFraction = 0.8, 0.4

// replica is one of the list as the view holds it.
type replica struct {
	balancer.Endpoint
	hash         uint64
	ringPosition float64 // on its ring, from 0 to 1
	ring         int
	zone         *zone   // nil: one of which nothing takes work
	windowWidth  float64 // of this gateway's window for it, at a scale of 1
	windowOffset float64 // how far behind the window's beginning it lies
	selected     bool    // it is in the subset
}

func newReplica(m balancer.Endpoint) *replica {
	r := &replica{Endpoint: m, hash: mix64(uint64(m.Replica))}
	r.ringPosition = unitInterval(r.hash)
	r.ring = int(mix64(r.hash) % ringsPerZone)
	return r
}

// size is the replica's weight against others.
func (r *replica) size(weighted bool) float64 {
	if !weighted || r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// selectSubset marks the replicas that are in the subset. It returns the list by zones, and how many of the
// subset take work.
func (s *Settings) selectSubset(fleet []*replica) (zones *zoneTable, ready int) {
	zones = s.groupByZone(fleet)
	most := s.sizeLimit(len(fleet))
	usual := meanFill * float64(most)
	s.placeInWindows(fleet, usual)
	scale := windowScale(fleet, min(usual, float64(zones.readyCount)))
	for range maxWindowGrowths {
		ready = markInWindow(fleet, scale)
		if want := min(max(1, int(minReadyFraction*float64(most))), zones.readyCount); ready >= want {
			break
		}
		scale *= windowGrowth // few that take work are in reach: another part of the fleet has to do
	}
	if ready > most {
		ready = trimToLimit(fleet, most)
	}
	return zones, ready
}

// windowGrowth is the factor by which windows grow while too few replicas in them take work, and maxWindowGrowths
// how often: by then a window of any share has the whole ring.
const windowGrowth, maxWindowGrowths = 1.5, 64

// placeInWindows sets where each replica lies by this gateway's windows.
func (s *Settings) placeInWindows(fleet []*replica, usual float64) {
	for _, r := range fleet {
		if r.zone == nil {
			r.windowWidth, r.windowOffset = 0, 0
			continue
		}
		r.windowWidth = usual * r.zone.subsetShare * r.size(s.WeightIsSize) / r.zone.readyWeight
		offset := r.ringPosition - r.zone.windowStarts[r.ring]
		r.windowOffset = offset - math.Floor(offset)
	}
}

// markInWindow sets which replicas lie in their windows and counts those of them that take work.
func markInWindow(fleet []*replica, scale float64) (ready int) {
	for _, r := range fleet {
		r.selected = r.windowOffset < scale*r.windowWidth
		if r.selected && r.State == balancer.EndpointReady {
			ready++
		}
	}
	return ready
}

// windowScale is the factor on all windows by which the subset has a size in the mean. It is 1 unless a
// zone is too small for its part.
func windowScale(fleet []*replica, want float64) float64 {
	expected := func(scale float64) (sum float64) {
		for _, r := range fleet {
			if r.State == balancer.EndpointReady {
				sum += min(1, scale*r.windowWidth)
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

// trimToLimit takes those that lie last in their windows out of the subset, down to the bound.
func trimToLimit(fleet []*replica, most int) (ready int) {
	var in []*replica
	for _, r := range fleet {
		if r.selected && r.State == balancer.EndpointReady {
			in = append(in, r)
		}
	}
	place := func(r *replica) float64 { return r.windowOffset / r.windowWidth }
	slices.SortFunc(in, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a.Replica, b.Replica))
	})
	for _, r := range in[most:] {
		r.selected = false
	}
	return most
}

// ringsPerZone is how many rings a zone has. On one ring the same gateways would be neighbours everywhere,
// and a crowded place would have the same subsets in all of their windows.
const ringsPerZone = 8

// ringSteps are the distances between the windows of successive indexes on each ring: irrational numbers,
// whose multiples spread evenly over the ring. These were searched for among the square roots up to
// that of 4,000: theirs do so also where only every n-th index is taken, for n up to 24, as when
// gateways are dealt to zones in turn.
var ringSteps = [ringsPerZone]float64{math.Sqrt(1845), math.Sqrt(3427), math.Sqrt(463), math.Sqrt(3340), math.Sqrt(1178), math.Sqrt(1737),
	math.Sqrt(347), math.Sqrt(2514)}
