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
	incarnation  int // of the host when the attempt arrived
	sentAt       balancer.Micros
	ended        bool // the gateway has received or decided the outcome
	cachedTokens int
	outputTokens int

	firstTokenSeen    bool
	firstTokenArrival balancer.Micros // at the gateway; the outcome does not arrive earlier
}

// loadReport returns the replica's current load report.
func (h *host) loadReport() balancer.LoadReport {
	if h.simulator == nil {
		return balancer.LoadReport{}
	}
	running, waiting, memoryFraction, unreadTokens := h.simulator.Load()
	return balancer.LoadReport{
		Has:             balancer.HasInFlight | balancer.HasQueued | balancer.HasMemory | balancer.HasPrefillBacklog,
		InFlight:        float64(running + waiting),
		Queued:          float64(waiting),
		MemoryShare:     memoryFraction,
		PrefillBacklogK: float64(unreadTokens) / 1000,
	}
}

// arrive handles the attempt's arrival at the replica.
func (a *attempt) arrive(now balancer.Micros) {
	h := a.host
	a.incarnation = h.incarnation
	if h.unresponsive {
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
	if !h.simulator.Submit(now, job) {
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

// breakConnection reports a broken connection to the gateway.
func (a *attempt) breakConnection() { a.notifyGateway(balancer.ConnBroken, balancer.LoadReport{}) }

// notifyGateway sends the outcome to the gateway. It arrives a network delay later, and not before the
// first token.
func (a *attempt) notifyGateway(status balancer.Status, report balancer.LoadReport) {
	s := a.gateway.sim
	at := max(s.engine.Now()+s.networkDelay(a.host.zone, a.gateway.zone), a.firstTokenArrival)
	s.engine.At(at, func(now balancer.Micros) { a.gateway.attemptEnded(now, a, status, report) })
}

// cancel sends a cancellation to the replica, which arrives a network delay later.
func (a *attempt) cancel() {
	s, h := a.gateway.sim, a.host
	s.engine.After(s.networkDelay(h.zone, a.gateway.zone), func(balancer.Micros) {
		if h.simulator != nil && h.incarnation == a.incarnation && h.jobs[a.jobID] == a {
			delete(h.jobs, a.jobID)
			h.simulator.Cancel(a.jobID)
		}
	})
}
