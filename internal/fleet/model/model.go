// Package model simulates a fleet in virtual time: gateways, replicas, the network, discovery and clients.
// The balancers and contract ledgers in it are those of the real gateway; each gateway can be captured, and
// its capture can be replayed.
//
// Package replica documents the sources of the replica model. Clients have sessions with several turns, as
// in published traces of chat services. Sessions arrive as a Poisson process; lengths and think times are
// log-normal.
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

const (
	// startTime is the beginning of virtual time. It is above 0 because a StartedAt of 0 means "long ago".
	startTime balancer.Micros = 1_000_000_000
	// initialUptime is the uptime of the replicas when a run begins.
	initialUptime balancer.Micros = 3600_000_000
)

// sim is the state of one run.
type sim struct {
	spec     *Spec
	engine   *engine.Engine
	gateways []*gateway
	hosts    []*host
	zones    []string
	kinds    []string
	result   *Result

	version         int64           // of the endpoint list
	changeLog       []listChange    // discovery's changes of the list
	discoveryDown   bool            // discovery does not answer
	discoveryFreeAt balancer.Micros // when discovery will have processed all queued calls

	networkRand       *rand.Rand
	arrivalFactor     float64 // factor on the arrival rate
	hotPrefixFraction float64 // fraction of sessions forced to the most popular prefix
	lastJobID         uint64
}

// host is an address at which successive incarnations of a replica run.
type host struct {
	index           int
	group           *Group
	zone            string
	simulator       *replica.Simulator // nil: no process is running
	state           balancer.EndpointState
	startedAt       balancer.Micros
	incarnation     int
	unresponsive    bool       // accepts requests and sends no responses
	hungAttempts    []*attempt // open connections of a lost machine
	jobs            map[uint64]*attempt
	stepScheduledAt balancer.Micros
}

// Run simulates a whole run. It is deterministic: the same Spec gives the same Result. It returns an error
// if the Spec is not valid.
func Run(spec *Spec) (*Result, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	s := &sim{spec: spec, engine: engine.New(spec.Seed, startTime), arrivalFactor: 1, result: NewResult(spec), version: 1}
	s.networkRand = s.engine.Rand("net")
	s.addHosts()
	if err := s.addGateways(); err != nil {
		return nil, err
	}
	for i := range spec.Streams {
		s.startTraffic(i)
	}
	for _, f := range spec.Faults {
		s.scheduleFault(f)
	}
	s.engine.RunUntil(startTime + spec.Duration)
	s.finish()
	return s.result, nil
}

// addHosts adds the replicas of all groups.
func (s *sim) addHosts() {
	for i := range s.spec.Groups {
		group := &s.spec.Groups[i]
		if !slices.Contains(s.zones, group.Zone) {
			s.zones = append(s.zones, group.Zone)
		}
		if !slices.Contains(s.kinds, group.Name) {
			s.kinds = append(s.kinds, group.Name)
		}
		for range group.Count {
			s.hosts = append(s.hosts, &host{
				index:     len(s.hosts),
				group:     group,
				zone:      group.Zone,
				simulator: replica.New(group.Params, startTime-initialUptime),
				jobs:      map[uint64]*attempt{},
			})
		}
	}
}

// addGateways creates all gateways before it starts the first one.
func (s *sim) addGateways() error {
	for i := range s.spec.Gateways {
		g, err := s.newGateway(i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		g.start()
	}
	return nil
}

// finish completes the result.
func (s *sim) finish() {
	s.result.Events = s.engine.Processed
	for _, h := range s.hosts {
		s.result.addReplica(h.simulator)
	}
	for _, g := range s.gateways {
		g.close()
	}
	s.result.Finish()
}

// networkDelay draws the time that a message takes between two zones.
func (s *sim) networkDelay(from, to string) balancer.Micros {
	delay := s.spec.SameZoneDelay
	if from != to {
		delay = s.spec.CrossZoneDelay
	}
	return balancer.Micros(float64(delay) * (0.8 + 0.4*s.networkRand.Float64()))
}

// scheduleStep schedules the end of the replica's step in progress.
func (s *sim) scheduleStep(h *host) {
	at := h.simulator.StepEnd()
	if at == 0 || at == h.stepScheduledAt {
		return
	}
	h.stepScheduledAt = at
	incarnation := h.incarnation
	s.engine.At(at, func(now balancer.Micros) {
		if h.incarnation != incarnation || h.stepScheduledAt != at {
			return
		}
		h.stepScheduledAt = 0
		for _, event := range h.simulator.Advance(now) {
			if a := h.jobs[event.Job]; a != nil {
				a.handleEvent(event)
			}
		}
		s.scheduleStep(h)
	})
}

// sortedKeys returns a map's keys in order, so that every run visits them in the same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
