// Package subset bounds the part of a large fleet that a gateway works with (deterministic subsetting).
// Every gateway applies the same rule to what it knows anyway: its own index and zone, and discovery's
// endpoint list. Gateways do not communicate for it, and none keeps a table of the others.
//
// Each replica has a fixed position on a ring of its zone, and each gateway a window on every ring. A
// replica is in the gateway's subset while its position lies in the window. Positions follow from the
// replica's name and windows from the gateway's index, so a replica that joins or leaves moves no other
// one. Windows begin at multiples of irrational numbers, which spread any run of indexes evenly: all
// replicas are in nearly the same number of subsets.
//
// Requests with a session or prefix also have an affinity target: the replica that all gateways of the
// zone prefer for it, whether or not it is in their subset. Targets outside the subset are announced to
// the balancer when a request needs them.
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
	MaxReplicas    int             // size of the subset; shorter lists pass complete; 0: no subsetting
	GatewayIndex   int             // index of this gateway
	GatewayCount   int             // number of gateways; 0: unknown
	Zone           string          // zone of this gateway; "": none
	RemoteFraction float64         // part of the subset that is taken from all zones alike
	WeightIsSize   bool            // weights on the list are sizes: twice the weight is in twice as many subsets
	SlowStart      balancer.Micros // how long a replica warms up after its start
}

// minGatewaysPerReplica is the least mean number of gateways that have a replica in their subsets. With
// fewer, some replicas are in no subset and others in twice as many as the mean.
const minGatewaysPerReplica = 16

const (
	// meanFill is the mean size of a subset in parts of its limit. The rest is a margin, because the number
	// of replicas in a window varies.
	meanFill = 0.8
	// minReadyFraction is the least number of ready replicas in a subset in parts of its limit.
	minReadyFraction = 0.4
)

const (
	// windowGrowth is the factor by which windows grow while they contain too few ready replicas.
	windowGrowth = 1.5
	// maxWindowGrowths bounds the growth. After it a window of any share covers the complete ring.
	maxWindowGrowths = 64
)

// sizeLimit returns the largest size of a subset of so many listed replicas. It is more than MaxReplicas
// where there are few gateways for them.
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
