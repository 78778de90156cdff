package model

import (
	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// Attempts at workers: from their arrival there to the outcome that the gateway is told.

// attempt is one attempt at a worker.
type attempt struct {
	g     *gateway
	r     *request
	n     int
	h     *host
	id    uint64
	life  int
	sent  balancer.Micros
	over  bool // its outcome was told
	kept  int
	made  int
	first bool
	// When the news of its first token comes: what follows does not overtake it.
	firstComes balancer.Micros
}

// report is the worker's load as it stands.
func (h *host) report() balancer.LoadReport {
	if h.w == nil {
		return balancer.LoadReport{}
	}
	running, waiting, memory, unread := h.w.Load()
	return balancer.LoadReport{Has: balancer.HasInFlight | balancer.HasQueued | balancer.HasMemory | balancer.HasPrefillBacklog, InFlight: float64(running + waiting),
		Queued: float64(waiting), MemoryShare: memory, PrefillBacklogK: float64(unread) / 1000}
}

// arrive is the request at the worker.
func (a *attempt) arrive(now balancer.Micros) {
	h := a.h
	a.life = h.life
	if h.silent {
		return
	}
	if h.w == nil {
		a.tell(balancer.ConnectFailed, balancer.LoadReport{})
		return
	}
	r := a.r
	out := r.out
	if !h.w.Offer(now, replica.Job{ID: a.id, Prompt: r.in.PromptTokens, Out: out, Prefix: r.in.Prefix, Shared: r.in.PrefixTokens, Session: r.in.Session}) {
		a.tell(balancer.Shed, h.report())
		return
	}
	h.jobs[a.id] = a
	a.g.x.drive(h)
}

// happened is news of the worker.
func (a *attempt) happened(ev replica.Event) {
	switch ev.Kind {
	case replica.First:
		a.kept = ev.Kept
		x := a.g.x
		a.firstComes = x.e.Now() + x.way(a.h.zone, a.g.zone)
		x.e.At(a.firstComes, func(now balancer.Micros) { a.g.opened(now, a) })
	case replica.Done:
		a.made = ev.Made
		delete(a.h.jobs, a.id)
		a.tell(balancer.Served, a.h.report())
	}
}

// reset is the end of the worker.
func (a *attempt) reset() { a.tell(balancer.ConnBroken, balancer.LoadReport{}) }

// tell has the gateway learn the outcome, one way later.
func (a *attempt) tell(status balancer.Status, rep balancer.LoadReport) {
	x := a.g.x
	at := max(x.e.Now()+x.way(a.h.zone, a.g.zone), a.firstComes)
	x.e.At(at, func(now balancer.Micros) { a.g.ended(now, a, status, rep) })
}

// cancel leaves the worker: it learns of it one way later.
func (a *attempt) cancel() {
	x, h := a.g.x, a.h
	x.e.After(x.way(a.h.zone, a.g.zone), func(now balancer.Micros) {
		if h.w != nil && h.life == a.life && h.jobs[a.id] == a {
			delete(h.jobs, a.id)
			h.w.Cancel(a.id)
		}
	})
}
