// Package model is a fleet in virtual time: gateways, workers, the network, the
// registry and clients. The decision modules and the books of contracts in it are
// those that serve; each gateway can be recorded, and what is recorded replays.
//
// Sources: package worker names those of its model. Clients come in sessions with
// turns, as published traces of chat services do; arrivals of sessions are Poisson,
// lengths and thinking times log-normal.
package model

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"archknot/balancer"
	"archknot/internal/fleet/engine"
	"archknot/internal/fleet/replica"
)

// sim is one run.
type sim struct {
	spec            *Spec
	engine          *engine.Engine
	gateways        []*gateway
	hosts           []*host
	version         int64
	changeLog       []listChange    // the registry's log
	discoveryDown   bool            // the registry does not answer
	discoveryFreeAt balancer.Micros // when it has worked off the calls that came
	networkRand     *rand.Rand
	traffic         []*traffic
	zones           []string
	kinds           []string
	arrivalFactor   float64
	hotPrefixShare  float64
	lastJobID       uint64
	result          *Result
}

type listChange struct {
	version  int64
	endpoint balancer.Endpoint
}

// host is a worker at an address.
type host struct {
	index           int
	group           *Group
	simulator       *replica.Simulator
	state           balancer.EndpointState
	startedAt       balancer.Micros
	incarnation     int // counts its starts
	silent          bool
	hung            []*attempt // what it had when its machine vanished
	slow            float64
	jobs            map[uint64]*attempt
	stepScheduledAt balancer.Micros
	zone            string
}

// startTime is when virtual time begins: above 0, for 0 says 'long ago'.
const startTime balancer.Micros = 1_000_000_000

// Run plays a run to its end.
func Run(s *Spec) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	x := &sim{spec: s, engine: engine.New(s.Seed, startTime), arrivalFactor: 1, result: NewResult(s)}
	x.networkRand = x.engine.Rand("net")
	zones, kinds := []string{}, []string{}
	for i := range s.Groups {
		g := &s.Groups[i]
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
		if !slices.Contains(kinds, g.Name) {
			kinds = append(kinds, g.Name)
		}
		for range g.Count {
			h := &host{index: len(x.hosts), group: g, slow: 1, zone: g.Zone, jobs: map[uint64]*attempt{}}
			h.simulator = replica.New(g.Params, startTime-3600_000_000)
			x.hosts = append(x.hosts, h)
		}
	}
	x.version, x.zones, x.kinds = 1, zones, kinds
	for i := range s.Gateways {
		g, err := x.newGateway(i, zones, kinds)
		if err != nil {
			return nil, err
		}
		x.gateways = append(x.gateways, g)
	}
	for _, g := range x.gateways {
		g.start()
	}
	for i := range s.Streams {
		x.startTraffic(i)
	}
	for _, f := range s.Faults {
		x.scheduleFault(f)
	}
	x.engine.RunUntil(startTime + s.Duration)
	x.result.Events = x.engine.Processed
	for _, h := range x.hosts {
		x.result.addReplica(h.simulator)
	}
	for _, g := range x.gateways {
		if err := g.close(); err != nil {
			return nil, err
		}
	}
	x.result.Finish()
	return x.result, nil
}

// networkDelay is how long a message takes between two zones.
func (x *sim) networkDelay(a, b string) balancer.Micros {
	d := x.spec.SameZoneDelay
	if a != b {
		d = x.spec.CrossZoneDelay
	}
	return balancer.Micros(float64(d) * (0.8 + 0.4*x.networkRand.Float64()))
}

// The registry.

func (x *sim) publish(h *host, state balancer.EndpointState) {
	h.state = state
	x.version++
	x.changeLog = append(x.changeLog, listChange{x.version, x.endpoint(h)})
	for _, g := range x.gateways {
		g.listChanged()
	}
}

func (x *sim) endpoint(h *host) balancer.Endpoint {
	return balancer.Endpoint{Replica: balancer.ReplicaID(h.index + 1), State: h.state, Weight: h.group.Weight, Kind: h.group.Name, Zone: h.zone, StartedAt: h.startedAt}
}

// sortedKeys are a map's keys in their order, that each run goes by them alike.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// scheduleStep has the worker's next step end when it does.
func (x *sim) scheduleStep(h *host) {
	at := h.simulator.StepEnd()
	if at == 0 || at == h.stepScheduledAt {
		return
	}
	h.stepScheduledAt = at
	life := h.incarnation
	x.engine.At(at, func(now balancer.Micros) {
		if h.incarnation != life || h.stepScheduledAt != at {
			return
		}
		h.stepScheduledAt = 0
		for _, ev := range h.simulator.Advance(now) {
			if a := h.jobs[ev.Job]; a != nil {
				a.handleEvent(ev)
			}
		}
		x.scheduleStep(h)
	})
}
