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
	s        *Spec
	e        *engine.Engine
	gateways []*gateway
	workers  []*host
	version  int64
	changed  []change        // the registry's log
	deaf     bool            // the registry does not answer
	askFree  balancer.Micros // when it has worked off the calls that came
	net      *rand.Rand
	traffic  []*traffic
	zones    []string
	kinds    []string
	burst    float64
	hot      float64
	jobs     uint64
	res      *Result
}

type change struct {
	version int64
	member  balancer.Endpoint
}

// host is a worker at an address.
type host struct {
	no     int
	group  *Group
	w      *replica.Worker
	state  balancer.EndpointState
	since  balancer.Micros
	life   int // counts its starts
	silent bool
	hung   []*attempt // what it had when its machine vanished
	slow   float64
	jobs   map[uint64]*attempt
	wake   balancer.Micros
	zone   string
}

// start is when virtual time begins: above 0, for 0 says 'long ago'.
const start balancer.Micros = 1_000_000_000

// Run plays a run to its end.
func Run(s *Spec) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	x := &sim{s: s, e: engine.New(s.Seed, start), burst: 1, res: NewResult(s)}
	x.net = x.e.Rand("net")
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
			h := &host{no: len(x.workers), group: g, slow: 1, zone: g.Zone, jobs: map[uint64]*attempt{}}
			h.w = replica.New(g.Params, start-3600_000_000)
			x.workers = append(x.workers, h)
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
		x.begin(i)
	}
	for _, f := range s.Faults {
		x.fault(f)
	}
	x.e.Run(start + s.For)
	x.res.Events = x.e.Done
	for _, h := range x.workers {
		x.res.addWorker(h.w)
	}
	for _, g := range x.gateways {
		if err := g.close(); err != nil {
			return nil, err
		}
	}
	x.res.Finish()
	return x.res, nil
}

// way is how long a message takes between two zones.
func (x *sim) way(a, b string) balancer.Micros {
	d := x.s.Near
	if a != b {
		d = x.s.Far
	}
	return balancer.Micros(float64(d) * (0.8 + 0.4*x.net.Float64()))
}

// The registry.

func (x *sim) tell(h *host, state balancer.EndpointState) {
	h.state = state
	x.version++
	x.changed = append(x.changed, change{x.version, x.member(h)})
	for _, g := range x.gateways {
		g.changed()
	}
}

func (x *sim) member(h *host) balancer.Endpoint {
	return balancer.Endpoint{Replica: balancer.ReplicaID(h.no + 1), State: h.state, Weight: h.group.Weight, Kind: h.group.Name, Zone: h.zone, StartedAt: h.since}
}

// sorted are a map's keys in their order, that each run goes by them alike.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// drive has the worker's next step end when it does.
func (x *sim) drive(h *host) {
	at := h.w.Next()
	if at == 0 || at == h.wake {
		return
	}
	h.wake = at
	life := h.life
	x.e.At(at, func(now balancer.Micros) {
		if h.life != life || h.wake != at {
			return
		}
		h.wake = 0
		for _, ev := range h.w.Advance(now) {
			if a := h.jobs[ev.Job]; a != nil {
				a.happened(ev)
			}
		}
		x.drive(h)
	})
}
