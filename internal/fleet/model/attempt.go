package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// attempt is one attempt of a request at a replica, from the gateway's dispatch to the outcome.
type attempt struct {
	gateway      *gateway
	request      *request
	index        int
	host         *host
	jobID        uint64
	incarnation  int // of the host that got it
	sentAt       balancer.Micros
	ended        bool // the gateway has its outcome
	cachedTokens int
	outputTokens int

	firstTokenSeen    bool
	firstTokenArrival balancer.Micros // at the gateway; later messages do not overtake it
}

// loadReport returns the replica's current load report.
func (h *host) loadReport() balancer.LoadReport {
	if h.simulator == nil {
		return balancer.LoadReport{}
	}
	running, waiting, memory, unread := h.simulator.Load()
	return balancer.LoadReport{
		Has:             balancer.HasInFlight | balancer.HasQueued | balancer.HasMemory | balancer.HasPrefillBacklog,
		InFlight:        float64(running + waiting),
		Queued:          float64(waiting),
		MemoryShare:     memory,
		PrefillBacklogK: float64(unread) / 1000,
	}
}

// arrive is the attempt's arrival at the replica.
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
	r := &a.request.balancerRequest
	job := replica.Job{
		ID:           a.jobID,
		PromptTokens: r.PromptTokens,
		OutputTokens: a.request.outputTokens,
		Prefix:       r.Prefix,
		PrefixTokens: r.PrefixTokens,
		Session:      r.Session,
	}
	if !h.simulator.Offer(now, job) {
		a.notifyGateway(balancer.Shed, h.loadReport())
		return
	}
	h.jobs[a.jobID] = a
	a.gateway.sim.scheduleStep(h)
}

// handleEvent handles an event of the attempt's job at the replica.
func (a *attempt) handleEvent(event replica.Event) {
	switch event.Kind {
	case replica.FirstToken:
		a.cachedTokens = event.CachedTokens
		s := a.gateway.sim
		a.firstTokenArrival = s.engine.Now() + s.networkDelay(a.host.zone, a.gateway.zone)
		s.engine.At(a.firstTokenArrival, func(now balancer.Micros) { a.gateway.firstToken(now, a) })
	case replica.Completed:
		a.outputTokens = event.OutputTokens
		delete(a.host.jobs, a.jobID)
		a.notifyGateway(balancer.Served, a.host.loadReport())
	}
}

// breakConnection is the end of the connection when the replica ends.
func (a *attempt) breakConnection() { a.notifyGateway(balancer.ConnBroken, balancer.LoadReport{}) }

// notifyGateway sends the outcome to the gateway, which gets it a network delay later.
func (a *attempt) notifyGateway(status balancer.Status, report balancer.LoadReport) {
	s := a.gateway.sim
	at := max(s.engine.Now()+s.networkDelay(a.host.zone, a.gateway.zone), a.firstTokenArrival)
	s.engine.At(at, func(now balancer.Micros) { a.gateway.attemptEnded(now, a, status, report) })
}

// cancel cancels the job at the replica, which gets the cancellation a network delay later.
func (a *attempt) cancel() {
	s, h := a.gateway.sim, a.host
	s.engine.After(s.networkDelay(h.zone, a.gateway.zone), func(balancer.Micros) {
		if h.simulator != nil && h.incarnation == a.incarnation && h.jobs[a.jobID] == a {
			delete(h.jobs, a.jobID)
			h.simulator.Cancel(a.jobID)
		}
	})
}
