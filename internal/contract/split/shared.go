package split

import "math"

// Counters are counters of usage that several gateways share. The transport is up to the
// implementation.
type Counters interface {
	// Add reports the usage requested of this gateway since the last call, by team in the
	// order of the contracts and in units per second. It returns the sums over all
	// gateways, this one included. On an error the gateway uses its own observations.
	Add(own []float64) (all []float64, err error)
}

// Shared computes shares from shared counters, and from a LocalEstimate while the counters
// are not available.
type Shared struct {
	Counters Counters
	fallback LocalEstimate
	failing  bool
}

// CountersFailing reports whether the last call of Counters.Add failed or returned the
// wrong number of sums.
func (s *Shared) CountersFailing() bool { return s.failing }

// Shares implements Strategy.
func (s *Shared) Shares(o Observation) []float64 {
	shares := s.fallback.Shares(o) // updated each time, so that the estimate is current when the counters fail
	elapsed := o.seconds()
	if elapsed <= 0 {
		return shares
	}
	own := make([]float64, len(o.Teams))
	for i, team := range o.Teams {
		own[i] = team.Requested / elapsed
	}
	all, err := s.Counters.Add(own)
	s.failing = err != nil || len(all) != len(own)
	if s.failing {
		return shares
	}
	for i := range shares {
		if all[i] > 0 {
			shares[i] = math.Min(1, own[i]/all[i])
		}
	}
	return shares
}
