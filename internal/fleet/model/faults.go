package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// What goes wrong with replicas and gateways, and comes back.

func (x *sim) scheduleFault(f Fault) {
	var hosts []*host
	for _, h := range x.hosts {
		if (f.Replica < 0 || f.Replica == h.index) && (f.Zone == "" || f.Zone == h.zone) {
			hosts = append(hosts, h)
		}
	}
	begin := func(balancer.Micros) {
		switch f.Kind {
		case "registry":
			x.discoveryDown = true
		case "restart":
			for i := range x.gateways {
				if float64(i%100) < 100*f.Factor || f.Factor >= 1 {
					x.gateways[i].kill(f.Duration)
				}
			}
		case "lose":
			for _, g := range x.gateways {
				if f.Zone != "" && g.zone == f.Zone && f.Replica < 0 {
					g.kill(f.Duration)
				}
			}
		case "burst":
			x.arrivalFactor = f.Factor
		case "hot":
			x.hotPrefixShare = f.Factor
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.simulator.SetSlowdown(f.Factor)
			case "kill":
				x.kill(h)
			case "lose":
				x.loseMachine(h, balancer.Micros(f.Factor*1e6))
			case "drain":
				x.publish(h, balancer.EndpointDraining)
			case "silent":
				h.silent = true
			case "flush":
				h.simulator.FlushCache()
			}
		}
	}
	end := func(now balancer.Micros) {
		switch f.Kind {
		case "registry":
			x.discoveryDown = false
			for _, g := range x.gateways {
				g.listChanged()
			}
		case "burst":
			x.arrivalFactor = 1
		case "hot":
			x.hotPrefixShare = 0
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.simulator.SetSlowdown(1)
			case "kill":
				x.restart(now, h)
			case "lose":
				x.resetHung(h)
				h.silent = false
				x.restart(now, h)
			case "drain":
				x.publish(h, balancer.EndpointReady)
			case "silent":
				h.silent = false
			}
		}
	}
	x.engine.At(startTime+f.At, begin)
	if f.Duration > 0 {
		x.engine.At(startTime+f.At+f.Duration, end)
	}
}

// kill ends a worker: its connections break, and the registry learns of it a little
// later.
func (x *sim) kill(h *host) {
	h.incarnation++
	for _, id := range sortedKeys(h.jobs) {
		h.jobs[id].breakConnection()
	}
	clear(h.jobs)
	h.simulator, h.stepScheduledAt = nil, 0
	life := h.incarnation
	x.engine.After(500_000, func(balancer.Micros) {
		if h.incarnation == life && h.simulator == nil {
			x.publish(h, balancer.EndpointGone)
		}
	})
}

// loseMachine takes a worker's machine away: what it had stays open and silent until the gateways
// give it up, or the machine is back.
func (x *sim) loseMachine(h *host, told balancer.Micros) {
	h.incarnation++
	for _, id := range sortedKeys(h.jobs) {
		h.hung = append(h.hung, h.jobs[id])
	}
	clear(h.jobs)
	h.simulator, h.stepScheduledAt, h.silent = nil, 0, true
	life := h.incarnation
	x.engine.After(told, func(balancer.Micros) {
		if h.incarnation == life {
			x.publish(h, balancer.EndpointGone)
		}
	})
	x.engine.After(streamIdleTimeout, func(balancer.Micros) {
		if h.incarnation == life {
			x.resetHung(h)
		}
	})
}

// streamIdleTimeout is how long a gateway waits for the next event of a stream.
const streamIdleTimeout balancer.Micros = 4_000_000

func (x *sim) resetHung(h *host) {
	for _, a := range h.hung {
		a.breakConnection()
	}
	h.hung = nil
}

func (x *sim) restart(now balancer.Micros, h *host) {
	h.incarnation++
	h.startedAt = now
	h.simulator = replica.New(h.group.Params, now+h.group.Params.StartupTime)
	x.engine.After(h.group.Params.StartupTime, func(balancer.Micros) { x.publish(h, balancer.EndpointReady) })
}
