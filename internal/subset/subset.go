// Package subset bounds the part of a large fleet that a gateway uses (deterministic subsetting). Each
// gateway computes its subset from its own index and zone and from discovery's endpoint list. Gateways
// exchange no messages for this, and none stores a table of the others.
//
// Each replica has a fixed position on a ring of its zone, and each gateway has a window on every ring. A
// replica is in the gateway's subset while its position lies in the window. Positions depend only on the
// replica's ID and window starts only on the gateway's index and the zone's name, so a replica that joins or
// leaves moves no other one. Windows start at multiples of irrational numbers, which spread any run of
// indexes evenly: all replicas are in nearly the same number of subsets.
//
// A request with a session or prefix also has an affinity target: the replica that all gateways of the
// zone prefer for the request, whether or not it is in their subsets. A target outside the subset is
// announced to the balancer when a request needs it.
//
// See docs/design/subsets.md.
package subset

import (
	"math"

	"archknot/balancer"
)

// Defaults of the settings.
const (
	DefaultMaxReplicas    = 128
	DefaultRemoteFraction = 0.25
)

// Settings determine a gateway's subset of an endpoint list.
type Settings struct {
	MaxReplicas    int             // size of the subset; shorter lists are passed on completely; 0: no subsetting
	GatewayIndex   int             // index of this gateway
	GatewayCount   int             // number of gateways; 0: unknown
	Zone           string          // zone of this gateway; "": none
	RemoteFraction float64         // fraction of the subset that is taken from all zones alike
	WeightIsSize   bool            // weights are sizes: a replica with twice the weight is in twice as many subsets
	SlowStart      balancer.Micros // how long a replica warms up after its start
}

// minGatewaysPerReplica is the least mean number of gateways that have a replica in their subsets. With
// fewer, some replicas would be in no subset and others in twice as many as the mean.
const minGatewaysPerReplica = 16

const (
	// meanFill is the mean size of a subset as a fraction of its limit. The remainder is a margin, because
	// the number of replicas in a window varies.
	meanFill = 0.8
	// minReadyFraction is the least number of ready replicas in a subset as a fraction of its limit.
	minReadyFraction = 0.4
)

const (
	// windowGrowth is the factor by which windows grow while they contain too few ready replicas.
	windowGrowth = 1.5
	// maxWindowGrowths bounds the number of growths. After that many, a window covers the complete ring
	// whatever its zone's fraction of the subset.
	maxWindowGrowths = 64
)

// sizeLimit returns the largest size of a subset for a number of listed replicas. It is more than MaxReplicas
// if there are few gateways for that number.
func (s *Settings) sizeLimit(listed int) int {
	if s.GatewayCount <= 0 {
		return s.MaxReplicas
	}
	needed := float64(minGatewaysPerReplica) * float64(listed) / float64(s.GatewayCount)
	return max(s.MaxReplicas, int(math.Ceil(needed/meanFill)))
}

// selectSubset marks the replicas of the subset. It returns the fleet by zone and the number of ready
// replicas in the subset.
func (s *Settings) selectSubset(fleet []*replica) (zones *zoneTable, ready int) {
	zones = s.groupByZone(fleet)
	limit := s.sizeLimit(len(fleet))
	meanSize := meanFill * float64(limit)
	s.placeInWindows(fleet, meanSize)
	scale := windowScale(fleet, min(meanSize, float64(zones.readyCount)))
	minReady := min(max(1, int(minReadyFraction*float64(limit))), zones.readyCount)
	for range maxWindowGrowths {
		ready = markInWindow(fleet, scale)
		if ready >= minReady {
			break
		}
		scale *= windowGrowth
	}
	if ready > limit {
		ready = trimToLimit(fleet, limit)
	}
	return zones, ready
}
