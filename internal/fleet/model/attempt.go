package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// Attempts at workers: from their arrival there to the outcome that the gateway is told.

// attempt is one attempt at a worker.
type attempt struct {
	gateway        *gateway
	request        *request
	index          int
	host           *host
	jobID          uint64
	incarnation    int
	sentAt         balancer.Micros
	ended          bool // its outcome was told
	cachedTokens   int
	outputTokens   int
	firstTokenSeen bool
	// When the news of its first token comes: what follows does not overtake it.
	firstTokenArrival balancer.Micros
}

// loadReport is the worker's load as it stands.
func (h *host) loadReport() balancer.LoadReport {
	if h.simulator == nil {
		return balancer.LoadReport{}
	}
	running, waiting, memory, unread := h.simulator.Load()
	return balancer.LoadReport{Has: balancer.HasInFlight | balancer.HasQueued | balancer.HasMemory | balancer.HasPrefillBacklog, InFlight: float64(running + waiting),
		Queued: float64(waiting), MemoryShare: memory, PrefillBacklogK: float64(unread) / 1000}
}

// arrive is the request at the worker.
func (a *attempt) arrive(now balancer.Micros) {
	h := a.host
	a.incarnation = h.incarnation
	if h.silent {
		return
	}
	if h.simulator == nil {
		a.notifyGateway(balancer.ConnectFailed, balancer.LoadReport{})
		return
	}
	r := a.request
	out := r.outputTokens
	if !h.simulator.Offer(now, replica.Job{ID: a.jobID, PromptTokens: r.balancerRequest.PromptTokens, OutputTokens: out, Prefix: r.balancerRequest.Prefix, PrefixTokens: r.balancerRequest.PrefixTokens, Session: r.balancerRequest.Session}) {
		a.notifyGateway(balancer.Shed, h.loadReport())
		return
	}
	h.jobs[a.jobID] = a
	a.gateway.sim.scheduleStep(h)
}

// handleEvent is news of the worker.
func (a *attempt) handleEvent(ev replica.Event) {
	switch ev.Kind {
	case replica.FirstToken:
		a.cachedTokens = ev.CachedTokens
		x := a.gateway.sim
		a.firstTokenArrival = x.engine.Now() + x.networkDelay(a.host.zone, a.gateway.zone)
		x.engine.At(a.firstTokenArrival, func(now balancer.Micros) { a.gateway.firstToken(now, a) })
	case replica.Completed:
		a.outputTokens = ev.OutputTokens
		delete(a.host.jobs, a.jobID)
		a.notifyGateway(balancer.Served, a.host.loadReport())
	}
}

// breakConnection is the end of the worker.
func (a *attempt) breakConnection() { a.notifyGateway(balancer.ConnBroken, balancer.LoadReport{}) }

// notifyGateway has the gateway learn the outcome, one way later.
func (a *attempt) notifyGateway(status balancer.Status, rep balancer.LoadReport) {
	x := a.gateway.sim
	at := max(x.engine.Now()+x.networkDelay(a.host.zone, a.gateway.zone), a.firstTokenArrival)
	x.engine.At(at, func(now balancer.Micros) { a.gateway.attemptEnded(now, a, status, rep) })
}

// cancel leaves the worker: it learns of it one way later.
func (a *attempt) cancel() {
	x, h := a.gateway.sim, a.host
	x.engine.After(x.networkDelay(a.host.zone, a.gateway.zone), func(now balancer.Micros) {
		if h.simulator != nil && h.incarnation == a.incarnation && h.jobs[a.jobID] == a {
			delete(h.jobs, a.jobID)
			h.simulator.Cancel(a.jobID)
		}
	})
}
