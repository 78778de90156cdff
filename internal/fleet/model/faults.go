package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

const (
	// failureDetectionTime is the time from the end of a replica's process until discovery removes it.
	failureDetectionTime balancer.Micros = 500_000
	// streamIdleTimeout is the time without an event after which a gateway ends a stream.
	streamIdleTimeout balancer.Micros = 4_000_000
)

// scheduleFault schedules the beginning of a fault and, if it has a duration, its end.
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

// hostsOf returns the hosts in the scope of a fault.
func (s *sim) hostsOf(f Fault) (hosts []*host) {
	for _, h := range s.hosts {
		if (f.Replica < 0 || f.Replica == h.index) && (f.Zone == "" || f.Zone == h.zone) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// beginFleetFault applies a fault to discovery, gateways and clients.
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
		s.hotPrefixFraction = f.Factor
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
		s.hotPrefixFraction = 0
	}
}

// beginHostFault applies a fault to a replica.
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
	case FaultUnresponsive:
		h.unresponsive = true
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
		h.unresponsive = false
		s.restart(now, h)
	case FaultDrain:
		s.publish(h, balancer.EndpointReady)
	case FaultUnresponsive:
		h.unresponsive = false
	}
}

// kill ends a replica's process. Its connections break at once; discovery removes it after
// failureDetectionTime.
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

// loseMachine simulates the loss of a replica's machine without notice. Its connections stay open without
// responses until the gateways time out or the machine is back. Discovery removes the replica after
// detectionDelay.
func (s *sim) loseMachine(h *host, detectionDelay balancer.Micros) {
	h.incarnation++
	for _, id := range sortedKeys(h.jobs) {
		h.hungAttempts = append(h.hungAttempts, h.jobs[id])
	}
	clear(h.jobs)
	h.simulator, h.stepScheduledAt, h.unresponsive = nil, 0, true
	incarnation := h.incarnation
	s.engine.After(detectionDelay, func(balancer.Micros) {
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

// resetHung breaks the connections that were open when the machine was lost.
func (s *sim) resetHung(h *host) {
	for _, a := range h.hungAttempts {
		a.breakConnection()
	}
	h.hungAttempts = nil
}

// restart starts a new replica process with empty memory. It is listed as ready after its startup time and
// then warms up.
func (s *sim) restart(now balancer.Micros, h *host) {
	h.incarnation++
	h.startedAt = now
	startup := h.group.Params.StartupTime
	h.simulator = replica.New(h.group.Params, now+startup)
	s.engine.After(startup, func(balancer.Micros) { s.publish(h, balancer.EndpointReady) })
}
