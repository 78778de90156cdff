package split

import (
	"math"

	"archknot/balancer"
)

// TeamUsage is what a gateway observed of one team in an interval.
type TeamUsage struct {
	Rate      float64 // units a second of the entire contract
	Requested float64 // units that were requested of this gateway
	Used      float64 // units that were used of them
}

// Observation is what a gateway observed since its last one.
type Observation struct {
	Interval balancer.Micros
	Teams    []TeamUsage // in the order of the contracts
	// OwnInFlight and FleetInFlight are the work in flight at the replicas: what
	// this gateway sent, and what the replicas report of all gateways together.
	// FleetInFlight 0: nothing was reported.
	OwnInFlight, FleetInFlight float64
}

// seconds returns the length of the interval.
func (o *Observation) seconds() float64 { return float64(o.Interval) / 1e6 }

// Strategy computes a gateway's shares of the contracts.
type Strategy interface {
	// Shares returns the gateway's share of each contract, from 0 to 1, in the order
	// of the contracts.
	Shares(o Observation) []float64
}

// Equal gives each gateway the same share. It is right where the load balancer in
// front of the gateways spreads each team evenly, and wrong by as much as it does
// not.
type Equal struct{ Gateways int }

// Shares implements Strategy.
func (e Equal) Shares(o Observation) []float64 {
	return equalShares(o, 1/float64(max(1, e.Gateways)))
}

// equalShares returns the same share of all contracts.
func equalShares(o Observation, share float64) []float64 {
	shares := make([]float64, len(o.Teams))
	for i := range shares {
		shares[i] = share
	}
	return shares
}

// Proportional gives the gateway of each contract the share that it has of all
// work. It is right where the load balancer skews all teams alike.
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

// smoothingSeconds is the time over which observations are averaged. Some shifts of
// the load balancer are faster, but at hundreds of gateways each one sees only a few
// requests of a team in a second.
const smoothingSeconds = 5.0

// movingAverage is an exponential moving average that starts as a plain mean.
type movingAverage struct {
	value   float64
	seconds float64 // observed, up to smoothingSeconds
	started bool
}

// add adds the value of an interval.
func (a *movingAverage) add(value float64, interval balancer.Micros) {
	elapsed := float64(interval) / 1e6
	a.seconds = math.Min(smoothingSeconds, a.seconds+elapsed)
	if !a.started {
		a.value, a.started, a.seconds = value, true, elapsed
		return
	}
	a.value += (value - a.value) * math.Min(1, elapsed/math.Max(a.seconds, elapsed))
}
