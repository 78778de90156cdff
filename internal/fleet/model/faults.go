package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

const (
	// failureDetectionTime is the time after which discovery notices that a replica's process has ended.
	failureDetectionTime balancer.Micros = 500_000
	// streamIdleTimeout is how long a gateway waits for the next event of a stream.
	streamIdleTimeout balancer.Micros = 4_000_000
)

// scheduleFault schedules the beginning of a fault and its end, if it has one.
func (s *sim) scheduleFault(f Fault) {
	hosts := s.hostsOf(f)
	s.engine.At(startTime+f.At, func(balancer.Micros) {
		s.beginFleetFault(f)
		for _, h := range hosts {
			s.beginHostFault(f, h)
		}
	})
	if f.Duration > 0 {
		s.engine.At(startTime+f.At+f.Duration, func(now balancer.Micros) {
			s.endFleetFault(f)
			for _, h := range hosts {
				s.endHostFault(now, f, h)
			}
		})
	}
}

// hostsOf returns the hosts that a fault concerns.
func (s *sim) hostsOf(f Fault) (hosts []*host) {
	for _, h := range s.hosts {
		if (f.Replica < 0 || f.Replica == h.index) && (f.Zone == "" || f.Zone == h.zone) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// beginFleetFault begins what a fault does to discovery, gateways and clients.
func (s *sim) beginFleetFault(f Fault) {
	switch f.Kind {
	case FaultDiscovery:
		s.discoveryDown = true
	case FaultRestartGateways:
		for i := range s.gateways {
			if float64(i%100) < 100*f.Factor || f.Factor >= 1 {
				s.gateways[i].kill(f.Duration)
			}
		}
	case FaultLoseMachine:
		for _, g := range s.gateways {
			if f.Zone != "" && g.zone == f.Zone && f.Replica < 0 {
				g.kill(f.Duration)
			}
		}
	case FaultBurst:
		s.arrivalFactor = f.Factor
	case FaultHotPrefix:
		s.hotPrefixShare = f.Factor
	}
}

func (s *sim) endFleetFault(f Fault) {
	switch f.Kind {
	case FaultDiscovery:
		s.discoveryDown = false
		for _, g := range s.gateways {
			g.listChanged()
		}
	case FaultBurst:
		s.arrivalFactor = 1
	case FaultHotPrefix:
		s.hotPrefixShare = 0
	}
}

// beginHostFault begins what a fault does to a replica.
func (s *sim) beginHostFault(f Fault, h *host) {
	switch f.Kind {
	case FaultSlow:
		h.simulator.SetSlowdown(f.Factor)
	case FaultKill:
		s.kill(h)
	case FaultLoseMachine:
		s.loseMachine(h, balancer.Micros(f.Factor*1e6))
	case FaultDrain:
		s.publish(h, balancer.EndpointDraining)
	case FaultSilent:
		h.silent = true
	case FaultFlushCache:
		h.simulator.FlushCache()
	}
}

func (s *sim) endHostFault(now balancer.Micros, f Fault, h *host) {
	switch f.Kind {
	case FaultSlow:
		h.simulator.SetSlowdown(1)
	case FaultKill:
		s.restart(now, h)
	case FaultLoseMachine:
		s.resetHung(h)
		h.silent = false
		s.restart(now, h)
	case FaultDrain:
		s.publish(h, balancer.EndpointReady)
	case FaultSilent:
		h.silent = false
	}
}

// kill ends a replica's process: its connections break, and discovery notices it a little later.
func (s *sim) kill(h *host) {
	h.incarnation++
	for _, id := range sortedKeys(h.jobs) {
		h.jobs[id].breakConnection()
	}
	clear(h.jobs)
	h.simulator, h.stepScheduledAt = nil, 0
	incarnation := h.incarnation
	s.engine.After(failureDetectionTime, func(balancer.Micros) {
		if h.incarnation == incarnation && h.simulator == nil {
			s.publish(h, balancer.EndpointRemoved)
		}
	})
}

// loseMachine takes a replica's machine away without notice: its connections stay open and silent until
// the gateways time out or the machine is back. Discovery notices it after noticedAfter.
func (s *sim) loseMachine(h *host, noticedAfter balancer.Micros) {
	h.incarnation++
	for _, id := range sortedKeys(h.jobs) {
		h.hung = append(h.hung, h.jobs[id])
	}
	clear(h.jobs)
	h.simulator, h.stepScheduledAt, h.silent = nil, 0, true
	incarnation := h.incarnation
	s.engine.After(noticedAfter, func(balancer.Micros) {
		if h.incarnation == incarnation {
			s.publish(h, balancer.EndpointRemoved)
		}
	})
	s.engine.After(streamIdleTimeout, func(balancer.Micros) {
		if h.incarnation == incarnation {
			s.resetHung(h)
		}
	})
}

// resetHung breaks the connections that a lost machine has left open.
func (s *sim) resetHung(h *host) {
	for _, a := range h.hung {
		a.breakConnection()
	}
	h.hung = nil
}

// restart starts a replica's process anew, with empty memory and warming up.
func (s *sim) restart(now balancer.Micros, h *host) {
	h.incarnation++
	h.startedAt = now
	startup := h.group.Params.StartupTime
	h.simulator = replica.New(h.group.Params, now+startup)
	s.engine.After(startup, func(balancer.Micros) { s.publish(h, balancer.EndpointReady) })
}
