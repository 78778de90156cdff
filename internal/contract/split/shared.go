package split

import "math"

// Counters are shared among gateways that can communicate, by whatever transport.
type Counters interface {
	// Add adds what was requested here of each team since the last call, in units a
	// second and in the order of the contracts, and returns the sums over all
	// gateways, this one included. On an error the gateway falls back to what it
	// observes itself.
	Add(own []float64) (all []float64, err error)
}

// Shared goes by shared counters, and by a LocalEstimate while they are not
// available.
type Shared struct {
	Counters Counters
	fallback LocalEstimate
	failing  bool
}

// CountersFailing reports whether the counters were not available the last time.
func (s *Shared) CountersFailing() bool { return s.failing }

// Shares implements Strategy.
func (s *Shared) Shares(o Observation) []float64 {
	shares := s.fallback.Shares(o) // computed each time, so that it is ready when it is needed
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
