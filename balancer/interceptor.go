package balancer

// Interceptor sees each decision before it takes effect, and may replace it: replay
// compares decisions with recorded ones and continues in step with those. In service
// there is none.
type Interceptor interface {
	// Admit returns whether the request is admitted; own is the module's decision.
	Admit(id RequestID, own bool) bool
	// Retry returns whether a further attempt is made, a retry or a hedge.
	Retry(id RequestID, own bool) bool
	// Pick returns where an attempt goes, and whether to any replica at all; own and
	// found are the module's decision. The breakdowns are of all replicas that were
	// scored, in the table's order, and valid until it returns.
	Pick(id RequestID, own ReplicaID, found bool, scored []ScoreBreakdown) (ReplicaID, bool)
}

// SetInterceptor sets the interceptor of all decisions; nil removes it.
func (b *Balancer) SetInterceptor(interceptor Interceptor) { b.interceptor = interceptor }

// ScoreBreakdown is how the score of one replica for one attempt was made up. Loads are
// in tokens.
//
//	held  = (1-ReportWeight) * (PeerLoad + LedgerLoad) + ReportWeight * (Reported + Unreported) + Noise
//	Score = (Slowness * (held + RequestTokens) + PrefillCost * (PromptTokens - CachedTokens)) * Penalty
//
// The least score wins. A replica in another zone has the cost of the crossing added, and
// its prefill is multiplied by the ratio of its kind; neither is shown apart.
type ScoreBreakdown struct {
	Replica        ReplicaID
	Score          float64
	ReportWeight   float64 // weight of the report, by its age and the number of gateways
	Reported       float64 // held by the last report, as far as that is believed
	Unreported     float64 // own charges too young for that report
	PeerLoad       float64 // what other gateways are taken to have in flight there
	LedgerLoad     float64 // own charges in flight
	Noise          float64 // for dispatches of peers that the report cannot show
	Slowness       float64 // against the fleet's mean
	RequestTokens  float64 // what the request itself would hold
	PrefillCost    float64 // weight of a prompt token that needs prefill
	PromptTokens   float64
	CachedTokens   float64 // prompt tokens expected to be cached there
	Penalty        float64 // for errors, slow start, zone and connection
	ServedSession  bool    // this gateway knows it to have served the session
	AffinityTarget bool    // it is the session's affinity target, the same at all gateways
}

// interceptPick passes a pick through the interceptor.
func (b *Balancer) interceptPick(req *request, best *replicaRow, cachedTokens float64) (*replicaRow, float64) {
	var own ReplicaID
	if best != nil {
		own = best.id
	}
	to, found := b.interceptor.Pick(req.ID, own, best != nil, b.breakdowns)
	scored := b.breakdowns
	b.breakdowns = b.breakdowns[:0]
	if !found {
		return nil, 0
	}
	if best != nil && to == own {
		return best, cachedTokens
	}
	cachedTokens = 0
	for _, breakdown := range scored {
		if breakdown.Replica == to {
			cachedTokens = breakdown.CachedTokens
		}
	}
	return b.rowByID[to], cachedTokens
}

// interceptAdmit passes an admission through the interceptor.
func (b *Balancer) interceptAdmit(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Admit(req.ID, own)
}

// interceptRetry passes the decision on a further attempt through the interceptor.
func (b *Balancer) interceptRetry(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Retry(req.ID, own)
}
