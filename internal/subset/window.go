package subset

import (
	"cmp"
	"math"
	"slices"

	"archknot/balancer"
)

// ringsPerZone is the number of rings in a zone. With a single ring, the same gateways would have adjacent
// windows everywhere, and gateways in a dense section of the ring would all have nearly the same subset.
const ringsPerZone = 8

// ringSteps are the distances between the windows of successive gateway indexes on each ring: irrational
// numbers, whose multiples spread evenly over the ring. For these square roots, of numbers up to 4,000, the
// multiples also spread evenly if only every n-th index is used, for n up to 24, as when gateways are
// assigned to zones in turn.
var ringSteps = [ringsPerZone]float64{
	math.Sqrt(1845), math.Sqrt(3427), math.Sqrt(463), math.Sqrt(3340),
	math.Sqrt(1178), math.Sqrt(1737), math.Sqrt(347), math.Sqrt(2514),
}

// replica is an entry of the endpoint list with its position relative to this gateway's windows.
type replica struct {
	balancer.Endpoint
	hash         uint64
	ringPosition float64 // position on its ring, in [0, 1)
	ring         int
	zone         *zone   // nil: no replica of its zone is ready
	windowWidth  float64 // of this gateway's window for it, at a scale of 1
	windowOffset float64 // distance from the beginning of the window, in [0, 1)
	selected     bool    // it is in the subset
}

func newReplica(e balancer.Endpoint) *replica {
	r := &replica{Endpoint: e, hash: mix64(uint64(e.Replica))}
	r.ringPosition = unitInterval(r.hash)
	r.ring = int(mix64(r.hash) % ringsPerZone)
	return r
}

// size returns the replica's size relative to others; an unknown weight counts as 1.
func (r *replica) size(weightIsSize bool) float64 {
	if !weightIsSize || r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// placeInWindows sets where each replica lies relative to this gateway's windows, whose widths give a
// subset of meanSize.
func (s *Settings) placeInWindows(fleet []*replica, meanSize float64) {
	for _, r := range fleet {
		if r.zone == nil {
			r.windowWidth, r.windowOffset = 0, 0
			continue
		}
		r.windowWidth = meanSize * r.zone.subsetFraction * r.size(s.WeightIsSize) / r.zone.readyWeight
		offset := r.ringPosition - r.zone.windowStarts[r.ring]
		r.windowOffset = offset - math.Floor(offset)
	}
}

// markInWindow marks the replicas that lie in their windows at the scale and counts the ready ones.
func markInWindow(fleet []*replica, scale float64) (ready int) {
	for _, r := range fleet {
		r.selected = r.windowOffset < scale*r.windowWidth
		if r.selected && r.State == balancer.EndpointReady {
			ready++
		}
	}
	return ready
}

// Bounds of the search in windowScale.
const (
	scaleTolerance    = 1 - 1e-9 // fraction of the target size that is sufficient
	maxScaleDoublings = 60
	scaleBisections   = 40
)

// windowScale returns the factor on all window widths for which the subset has the target mean size. It is 1
// unless a zone has too few replicas for its fraction of the subset.
func windowScale(fleet []*replica, targetSize float64) float64 {
	isEnough := func(scale float64) bool { return expectedSize(fleet, scale) >= targetSize*scaleTolerance }
	low, high := 1.0, 1.0
	for range maxScaleDoublings {
		if isEnough(high) {
			break
		}
		low, high = high, 2*high
	}
	if high == 1 {
		return 1
	}
	for range scaleBisections {
		if middle := (low + high) / 2; isEnough(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// expectedSize returns the mean number of ready replicas in windows of the scale.
func expectedSize(fleet []*replica, scale float64) (sum float64) {
	for _, r := range fleet {
		if r.State == balancer.EndpointReady {
			sum += min(1, scale*r.windowWidth)
		}
	}
	return sum
}

// trimToLimit removes ready replicas from the subset, those last in their windows first, until limit of them
// remain. It returns the limit.
func trimToLimit(fleet []*replica, limit int) (ready int) {
	var selected []*replica
	for _, r := range fleet {
		if r.selected && r.State == balancer.EndpointReady {
			selected = append(selected, r)
		}
	}
	relativeOffset := func(r *replica) float64 { return r.windowOffset / r.windowWidth }
	slices.SortFunc(selected, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(relativeOffset(a), relativeOffset(b)), cmp.Compare(a.Replica, b.Replica))
	})
	for _, r := range selected[limit:] {
		r.selected = false
	}
	return limit
}
