package model

import (
	"archknot/choice"
	"archknot/internal/fleet/worker"
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
	sent  choice.Micros
	over  bool // its outcome was told
	kept  int
	made  int
	first bool
	// When the news of its first token comes: what follows does not overtake it.
	firstComes choice.Micros
}

// report is the worker's load as it stands.
func (h *host) report() choice.LoadReport {
	if h.w == nil {
		return choice.LoadReport{}
	}
	running, waiting, memory, unread := h.w.Load()
	return choice.LoadReport{Has: choice.HasInFlight | choice.HasQueued | choice.HasMemory | choice.HasPrefillBacklog, InFlight: float64(running + waiting),
		Queued: float64(waiting), MemoryShare: memory, PrefillBacklogK: float64(unread) / 1000}
}

// arrive is the request at the worker.
func (a *attempt) arrive(now choice.Micros) {
	h := a.h
	a.life = h.life
	if h.silent {
		return
	}
	if h.w == nil {
		a.tell(choice.ConnectFailed, choice.LoadReport{})
		return
	}
	r := a.r
	out := r.out
	if !h.w.Offer(now, worker.Job{ID: a.id, Prompt: r.in.PromptTokens, Out: out, Prefix: r.in.Prefix, Shared: r.in.PrefixTokens, Session: r.in.Session}) {
		a.tell(choice.Shed, h.report())
		return
	}
	h.jobs[a.id] = a
	a.g.x.drive(h)
}

// happened is news of the worker.
func (a *attempt) happened(ev worker.Event) {
	switch ev.Kind {
	case worker.First:
		a.kept = ev.Kept
		x := a.g.x
		a.firstComes = x.e.Now() + x.way(a.h.zone, a.g.zone)
		x.e.At(a.firstComes, func(now choice.Micros) { a.g.opened(now, a) })
	case worker.Done:
		a.made = ev.Made
		delete(a.h.jobs, a.id)
		a.tell(choice.Served, a.h.report())
	}
}

// reset is the end of the worker.
func (a *attempt) reset() { a.tell(choice.ConnBroken, choice.LoadReport{}) }

// tell has the gateway learn the outcome, one way later.
func (a *attempt) tell(status choice.Status, rep choice.LoadReport) {
	x := a.g.x
	at := max(x.e.Now()+x.way(a.h.zone, a.g.zone), a.firstComes)
	x.e.At(at, func(now choice.Micros) { a.g.ended(now, a, status, rep) })
}

// cancel leaves the worker: it learns of it one way later.
func (a *attempt) cancel() {
	x, h := a.g.x, a.h
	x.e.After(x.way(a.h.zone, a.g.zone), func(now choice.Micros) {
		if h.w != nil && h.life == a.life && h.jobs[a.id] == a {
			delete(h.jobs, a.id)
			h.w.Cancel(a.id)
		}
	})
}
