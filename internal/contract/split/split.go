package split

import (
	"math"

	"archknot/balancer"
)

// TeamUsage is the usage of one team at a gateway in an interval.
type TeamUsage struct {
	Rate      float64 // units per second of the entire contract
	Requested float64 // units requested of this gateway, rejected requests included
	Used      float64 // units used at this gateway
}

// Observation is the usage and the load that a gateway observed in an interval.
type Observation struct {
	Interval balancer.Micros
	Teams    []TeamUsage // in the order of the contracts
	// OwnInFlight is the work in flight at the replicas that this gateway sent, and
	// FleetInFlight the work in flight there from all gateways, as the replicas report it.
	// FleetInFlight 0: nothing was reported.
	OwnInFlight, FleetInFlight float64
}

func (o *Observation) seconds() float64 { return float64(o.Interval) / 1e6 }

// Strategy computes a gateway's shares of the contracts.
type Strategy interface {
	// Shares returns the gateway's share of each contract, from 0 to 1, in the order
	// of the contracts.
	Shares(o Observation) []float64
}

// Equal gives each gateway the same share. It is correct if the load balancer in front of
// the gateways distributes the requests of each team evenly; otherwise its error is as
// large as the imbalance.
type Equal struct{ Gateways int }

// Shares implements Strategy.
func (e Equal) Shares(o Observation) []float64 {
	return equalShares(o, 1/float64(max(1, e.Gateways)))
}

// equalShares returns the same share for all contracts.
func equalShares(o Observation, share float64) []float64 {
	shares := make([]float64, len(o.Teams))
	for i := range shares {
		shares[i] = share
	}
	return shares
}

// Proportional gives the gateway a share of each contract equal to its share of all work.
// It is correct if the load balancer distributes all teams in the same way.
type Proportional struct{ workShare movingAverage }

// Shares implements Strategy.
func (p *Proportional) Shares(o Observation) []float64 {
	if o.FleetInFlight > 0 && o.OwnInFlight >= 0 {
		p.workShare.add(math.Min(1, o.OwnInFlight/o.FleetInFlight), o.Interval)
	}
	if !p.workShare.started {
		return equalShares(o, 1)
	}
	return equalShares(o, p.workShare.value)
}

// smoothingSeconds is the time over which observations are averaged. The load balancer may
// shift traffic faster, but with hundreds of gateways each one receives only a few requests
// of a team per second, too few for a shorter average.
const smoothingSeconds = 5.0

// movingAverage is an exponential moving average that starts as a plain mean.
type movingAverage struct {
	value   float64
	seconds float64 // total length of the observed intervals, up to smoothingSeconds
	started bool
}

// add adds the mean value of an interval.
func (a *movingAverage) add(value float64, interval balancer.Micros) {
	elapsed := float64(interval) / 1e6
	a.seconds = math.Min(smoothingSeconds, a.seconds+elapsed)
	if !a.started {
		a.value, a.started, a.seconds = value, true, elapsed
		return
	}
	a.value += (value - a.value) * math.Min(1, elapsed/math.Max(a.seconds, elapsed))
}
