package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// What goes wrong with replicas and gateways, and comes back.

func (x *sim) fault(f Fault) {
	var hosts []*host
	for _, h := range x.workers {
		if (f.Worker < 0 || f.Worker == h.no) && (f.Zone == "" || f.Zone == h.zone) {
			hosts = append(hosts, h)
		}
	}
	begin := func(balancer.Micros) {
		switch f.Kind {
		case "registry":
			x.deaf = true
		case "restart":
			for i := range x.gateways {
				if float64(i%100) < 100*f.Factor || f.Factor >= 1 {
					x.gateways[i].kill(f.For)
				}
			}
		case "lose":
			for _, g := range x.gateways {
				if f.Zone != "" && g.zone == f.Zone && f.Worker < 0 {
					g.kill(f.For)
				}
			}
		case "burst":
			x.burst = f.Factor
		case "hot":
			x.hot = f.Factor
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.w.Slow(f.Factor)
			case "kill":
				x.kill(h)
			case "lose":
				x.lose(h, balancer.Micros(f.Factor*1e6))
			case "drain":
				x.tell(h, balancer.EndpointDraining)
			case "silent":
				h.silent = true
			case "flush":
				h.w.Flush()
			}
		}
	}
	end := func(now balancer.Micros) {
		switch f.Kind {
		case "registry":
			x.deaf = false
			for _, g := range x.gateways {
				g.changed()
			}
		case "burst":
			x.burst = 1
		case "hot":
			x.hot = 0
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.w.Slow(1)
			case "kill":
				x.revive(now, h)
			case "lose":
				x.hangUp(h)
				h.silent = false
				x.revive(now, h)
			case "drain":
				x.tell(h, balancer.EndpointReady)
			case "silent":
				h.silent = false
			}
		}
	}
	x.e.At(start+f.At, begin)
	if f.For > 0 {
		x.e.At(start+f.At+f.For, end)
	}
}

// kill ends a worker: its connections break, and the registry learns of it a little
// later.
func (x *sim) kill(h *host) {
	h.life++
	for _, id := range sorted(h.jobs) {
		h.jobs[id].reset()
	}
	clear(h.jobs)
	h.w, h.wake = nil, 0
	life := h.life
	x.e.After(500_000, func(balancer.Micros) {
		if h.life == life && h.w == nil {
			x.tell(h, balancer.EndpointGone)
		}
	})
}

// lose takes a worker's machine away: what it had stays open and silent until the gateways
// give it up, or the machine is back.
func (x *sim) lose(h *host, told balancer.Micros) {
	h.life++
	for _, id := range sorted(h.jobs) {
		h.hung = append(h.hung, h.jobs[id])
	}
	clear(h.jobs)
	h.w, h.wake, h.silent = nil, 0, true
	life := h.life
	x.e.After(told, func(balancer.Micros) {
		if h.life == life {
			x.tell(h, balancer.EndpointGone)
		}
	})
	x.e.After(stall, func(balancer.Micros) {
		if h.life == life {
			x.hangUp(h)
		}
	})
}

// stall is how long a gateway waits for the next event of a stream.
const stall balancer.Micros = 4_000_000

func (x *sim) hangUp(h *host) {
	for _, a := range h.hung {
		a.reset()
	}
	h.hung = nil
}

func (x *sim) revive(now balancer.Micros, h *host) {
	h.life++
	h.since = now
	h.w = replica.New(h.group.Params, now+h.group.Params.Start)
	x.e.After(h.group.Params.Start, func(balancer.Micros) { x.tell(h, balancer.EndpointReady) })
}
