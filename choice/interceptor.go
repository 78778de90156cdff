package choice

import "fmt"

// Judge sees each decision before it takes effect, and may put another in its
// place: replay compares decisions with recorded ones and goes on in step with
// those. In service there is none.
type Judge interface {
	// Admit tells whether the request is let in; own is what the module would do.
	Admit(id RequestID, own bool) bool
	// Again tells whether a further attempt is made.
	Again(id RequestID, own bool) bool
	// Pick tells where an attempt goes, and whether to any worker at all. The
	// terms are those of all workers that were weighed, in the table's order,
	// and good until it returns.
	Pick(id RequestID, own ReplicaID, any bool, weighed []Terms) (ReplicaID, bool)
}

// SetJudge puts a judge before the decisions; nil takes it away.
func (b *Balancer) SetJudge(j Judge) { b.judge = j }

// Terms is what one worker was weighed by for one attempt. Lengths are tokens.
//
//	held  = (1-Fresh) * (Peers + Charge) + Fresh * (Reported + Unseen) + Noise
//	Score = (Slow * (held + Hold) + Read * (Prompt - Kept)) * Guard
//
// The least score wins.
type Terms struct {
	Worker   ReplicaID
	Score    float64
	Fresh    float64 // weight of the report, by its age and the number of gateways
	Reported float64 // held by the last report, as far as that is believed
	Unseen   float64 // own charges too young for that report
	Peers    float64 // what other gateways are taken to have out there
	Charge   float64 // own charges out
	Noise    float64 // for sends of peers that the report cannot show
	Slow     float64 // slowness against the fleet
	Hold     float64 // what the request itself would hold
	Read     float64 // weight of a prompt token that must be read
	Prompt   float64 // its prompt
	Kept     float64 // of that, expected to be kept there
	Guard    float64 // for errors, warmth, zone and connection
	Holder   bool    // this gateway knows it to have served the session
	Home     bool    // all gateways take it for the session's home
}

// judged hands the pick to the judge.
func (b *Balancer) judged(r *request, best *row, kept float64) (*row, float64) {
	var own ReplicaID
	if best != nil {
		own = best.id
	}
	to, any := b.judge.Pick(r.ID, own, best != nil, b.weighed)
	defer func() { b.weighed = b.weighed[:0] }()
	if !any {
		return nil, 0
	}
	if best != nil && to == own {
		return best, kept
	}
	kept = 0
	for _, t := range b.weighed {
		if t.Worker == to {
			kept = t.Kept
		}
	}
	return b.byID[to], kept
}

func (b *Balancer) judgedAdmit(r *request, own bool) bool {
	if b.judge == nil {
		return own
	}
	return b.judge.Admit(r.ID, own)
}

func (b *Balancer) judgedAgain(r *request, own bool) bool {
	if b.judge == nil {
		return own
	}
	return b.judge.Again(r.ID, own)
}

// WhyNot tells in words why a worker may not take a further attempt of the
// request now, "" if it may. It changes nothing.
func (b *Balancer) WhyNot(now Micros, id RequestID, to ReplicaID) string {
	w, r := b.byID[to], b.requests[id]
	if w == nil {
		return "not on the list"
	}
	if r == nil {
		return "the request is not in hand"
	}
	last := b.lastResort(now, r)
	switch {
	case w.state == MemberDraining:
		return "draining"
	case w.state != MemberReady:
		return "gone"
	case !last && now < w.retryAt:
		return fmt.Sprintf("rests for %.3f s more after %d failures in a row", float64(w.retryAt-now)/1e6, w.fails)
	case !last && !b.siteOpen(now, w):
		return "its site is lost"
	case !last && b.unanswered(now, w):
		return "it was asked for its load and says nothing"
	case b.doubted(now, w) && (b.s.MayProbe || !last):
		return fmt.Sprintf("no word of discovery for %.3f s, nor sign of it", float64(now-max(b.toldAt, w.provedAt))/1e6)
	case !last && w.fails > 0 && len(w.open) > 0:
		return "on trial after a failure, with one attempt out"
	}
	for i, a := range r.attempts {
		if a.row == w && (!last || !a.ended) {
			return fmt.Sprintf("attempt %d went there", i)
		}
	}
	if len(r.attempts) > 0 && !b.mayRepeat(now, r, w) {
		return "the class does not allow a repeat there"
	}
	return ""
}
