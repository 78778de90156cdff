package balancer

import "fmt"

// Interceptor sees each decision before it takes effect, and may put another in its
// place: replay compares decisions with recorded ones and goes on in step with
// those. In service there is none.
type Interceptor interface {
	// Admit tells whether the request is let in; own is what the module would do.
	Admit(id RequestID, own bool) bool
	// Retry tells whether a further attempt is made.
	Retry(id RequestID, own bool) bool
	// Pick tells where an attempt goes, and whether to any worker at all. The
	// terms are those of all workers that were weighed, in the table's order,
	// and good until it returns.
	Pick(id RequestID, own ReplicaID, any bool, weighed []ScoreBreakdown) (ReplicaID, bool)
}

// SetInterceptor puts a judge before the decisions; nil takes it away.
func (b *Balancer) SetInterceptor(j Interceptor) { b.interceptor = j }

// ScoreBreakdown is what one worker was weighed by for one attempt. Lengths are tokens.
//
//	held  = (1-Fresh) * (Peers + Charge) + Fresh * (Reported + Unseen) + Noise
//	Score = (Slow * (held + Hold) + Read * (Prompt - Kept)) * Guard
//
// The least score wins.
type ScoreBreakdown struct {
	Replica       ReplicaID
	Score         float64
	ReportWeight  float64 // weight of the report, by its age and the number of gateways
	Reported      float64 // held by the last report, as far as that is believed
	Unreported    float64 // own charges too young for that report
	PeerLoad      float64 // what other gateways are taken to have out there
	LedgerLoad    float64 // own charges out
	Noise         float64 // for sends of peers that the report cannot show
	Slowness      float64 // slowness against the fleet
	RequestTokens float64 // what the request itself would hold
	PrefillCost   float64 // weight of a prompt token that must be read
	PromptTokens  float64 // its prompt
	CachedTokens  float64 // of that, expected to be kept there
	Penalty       float64 // for errors, warmth, zone and connection
	ServedSession bool    // this gateway knows it to have served the session
	HomeReplica   bool    // all gateways take it for the session's home
}

// interceptPick hands the pick to the judge.
func (b *Balancer) interceptPick(req *request, best *replicaRow, kept float64) (*replicaRow, float64) {
	var own ReplicaID
	if best != nil {
		own = best.id
	}
	to, any := b.interceptor.Pick(req.ID, own, best != nil, b.breakdowns)
	defer func() { b.breakdowns = b.breakdowns[:0] }()
	if !any {
		return nil, 0
	}
	if best != nil && to == own {
		return best, kept
	}
	kept = 0
	for _, t := range b.breakdowns {
		if t.Replica == to {
			kept = t.CachedTokens
		}
	}
	return b.rowByID[to], kept
}

func (b *Balancer) interceptAdmit(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Admit(req.ID, own)
}

func (b *Balancer) interceptRetry(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Retry(req.ID, own)
}

// ExclusionReason tells in words why a worker may not take a further attempt of the
// request now, "" if it may. It changes nothing.
func (b *Balancer) ExclusionReason(now Micros, id RequestID, to ReplicaID) string {
	row, req := b.rowByID[to], b.requests[id]
	if row == nil {
		return "not on the list"
	}
	if req == nil {
		return "the request is not in hand"
	}
	last := b.lastResort(now, req)
	switch {
	case row.state == EndpointDraining:
		return "draining"
	case row.state != EndpointReady:
		return "gone"
	case !last && now < row.backoffUntil:
		return fmt.Sprintf("rests for %.3f s more after %d failures in a row", float64(row.backoffUntil-now)/1e6, row.consecutiveFailures)
	case !last && !b.zoneOpen(now, row):
		return "its site is lost"
	case !last && b.healthCheckOverdue(now, row):
		return "it was asked for its load and says nothing"
	case b.mayBeStale(now, row) && (b.settings.MayHealthCheck || !last):
		return fmt.Sprintf("no word of discovery for %.3f s, nor sign of it", float64(now-max(b.lastHeardAt, row.confirmedReadyAt))/1e6)
	case !last && row.consecutiveFailures > 0 && len(row.ledger) > 0:
		return "on trial after a failure, with one attempt out"
	}
	for i, a := range req.attempts {
		if a.row == row && (!last || !a.ended) {
			return fmt.Sprintf("attempt %d went there", i)
		}
	}
	if len(req.attempts) > 0 && !b.idempotencyAllows(now, req, row) {
		return "the class does not allow a repeat there"
	}
	return ""
}
