package model

import "archknot/balancer"

// discoveryCallTimeout is the longest time that a call may take in discovery's queue.
const discoveryCallTimeout balancer.Micros = 2_000_000

// listChange is an entry of discovery's log.
type listChange struct {
	version  int64
	endpoint balancer.Endpoint
}

// publish changes a replica's state in discovery's endpoint list.
func (s *sim) publish(h *host, state balancer.EndpointState) {
	h.state = state
	s.version++
	s.changeLog = append(s.changeLog, listChange{s.version, h.endpoint()})
	for _, g := range s.gateways {
		g.listChanged()
	}
}

// endpoint returns discovery's entry for the host.
func (h *host) endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		Replica:   balancer.ReplicaID(h.index + 1),
		State:     h.state,
		Weight:    h.group.Weight,
		Kind:      h.group.Name,
		Zone:      h.zone,
		StartedAt: h.startedAt,
	}
}

// initialList returns the list with which the gateway starts. A restarted gateway gets the list of its
// previous incarnation: replicas that have changed since are listed as ready. The list counts as cached
// unless the gateway has already begun a watch.
func (g *gateway) initialList() balancer.EndpointList {
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: g.sim.version}
	for _, h := range g.sim.hosts {
		list.Endpoints = append(list.Endpoints, h.endpoint())
	}
	if !g.watching {
		list.Kind = balancer.ListCached
	}
	if g.incarnation == 0 {
		g.listVersion = g.sim.version
		return list
	}
	for _, change := range g.sim.changeLog {
		if change.version > g.listVersion { // the previous incarnation did not receive this change
			entry := &list.Endpoints[change.endpoint.Replica-1]
			entry.State = balancer.EndpointReady
			entry.StartedAt = 0
		}
	}
	return list
}

// WatchDiscovery implements balancer.Sink. With a service time, discovery processes calls one after
// another, and calls that time out in the queue take up service time as well.
func (g *gateway) WatchDiscovery() {
	if g.watching {
		return
	}
	g.watching = true
	serviceTime := g.sim.spec.DiscoveryServiceTime
	if serviceTime <= 0 {
		g.beginWatch()
		return
	}
	now := g.sim.engine.Now()
	g.sim.discoveryFreeAt = max(g.sim.discoveryFreeAt, now) + serviceTime
	if g.sim.discoveryFreeAt <= now+discoveryCallTimeout {
		g.sim.engine.At(g.sim.discoveryFreeAt, func(balancer.Micros) { g.beginWatch() })
		return
	}
	g.sim.result.DiscoveryCallsFailed++
	g.sim.engine.After(discoveryCallTimeout, func(now balancer.Micros) {
		g.watching = false
		if !g.killed {
			g.module.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
		}
	})
}

// beginWatch begins a watch, which ends with the next change of the list or after PollWait.
func (g *gateway) beginWatch() {
	g.watchCount++
	watch := g.watchCount
	g.sim.engine.After(0, func(balancer.Micros) { g.listChanged() })
	g.sim.engine.After(g.sim.spec.PollWait, func(now balancer.Micros) {
		if !g.watching || g.watchCount != watch {
			return
		}
		g.watching = false
		if g.sim.discoveryDown && !g.killed {
			g.module.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
			return
		}
		g.answerWatch(now)
	})
}

// listChanged ends the watch in progress if the list has changed.
func (g *gateway) listChanged() {
	if g.watching && !g.sim.discoveryDown && g.listVersion < g.sim.version {
		g.watching = false
		g.sim.engine.After(2*g.sim.spec.SameZoneDelay, g.answerWatch)
	}
}

// answerWatch handles the arrival of discovery's answer and begins the next watch.
func (g *gateway) answerWatch(now balancer.Micros) {
	if g.killed {
		return
	}
	delta := balancer.EndpointList{Kind: balancer.ListDelta, Version: g.sim.version}
	for _, change := range g.sim.changeLog {
		if change.version > g.listVersion {
			delta.Endpoints = append(delta.Endpoints, change.endpoint)
		}
	}
	g.listVersion = g.sim.version
	g.module.ListChanged(now, g.selector.Apply(now, delta))
	g.watching = true
	g.beginWatch()
}
