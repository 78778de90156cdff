package balancer

// Interceptor receives each decision before it takes effect, and may replace it. Replay
// uses one to compare decisions with recorded ones and to continue with the recorded ones.
type Interceptor interface {
	// Admit returns whether the request is admitted; own is the Balancer's decision.
	Admit(id RequestID, own bool) bool
	// Retry returns whether a further attempt is made, a retry or a hedge; own is the
	// Balancer's decision.
	Retry(id RequestID, own bool) bool
	// Pick returns the replica for an attempt, and whether there is one; own and found are
	// the Balancer's decision. The breakdowns are those of all scored replicas, in the order
	// of the load table, and must not be used after Pick returns.
	Pick(id RequestID, own ReplicaID, found bool, scored []ScoreBreakdown) (ReplicaID, bool)
}

// SetInterceptor sets the interceptor of all further decisions; nil removes it.
func (b *Balancer) SetInterceptor(interceptor Interceptor) { b.interceptor = interceptor }

// ScoreBreakdown has the components of the score of one replica for one attempt. Loads are
// in tokens.
//
//	held  = (1-ReportWeight) * (PeerLoad + LedgerLoad) + ReportWeight * (Reported + Unreported) + Noise
//	Score = (Slowness * (held + RequestTokens) + PrefillCost * (PromptTokens - CachedTokens)) * Penalty
//
// The least score wins. Two components are not shown: the score of a replica in another zone
// includes the cross-zone cost, and the prefill is multiplied by the firstTokenRatio of the
// replica's kind.
type ScoreBreakdown struct {
	Replica        ReplicaID
	Score          float64
	ReportWeight   float64 // weight of the report, by its age and the number of gateways
	Reported       float64 // load in the last report, in large fleets no less than a part of the peers' load
	Unreported     float64 // own charges that are too recent to be in the report
	PeerLoad       float64 // estimated load in flight from other gateways
	LedgerLoad     float64 // own charges in flight
	Noise          float64 // random term for dispatches of peers since the report
	Slowness       float64 // relative to the fleet's mean
	RequestTokens  float64 // tokens that the request is expected to hold
	PrefillCost    float64 // weight of a prompt token that needs prefill
	PromptTokens   float64
	CachedTokens   float64 // prompt tokens expected to be cached there
	Penalty        float64 // factor for errors, slow start, zone and connection
	ServedSession  bool    // this gateway has a record that the replica served the session
	AffinityTarget bool    // the replica is the session's affinity target, the same at all gateways
}

// interceptPick returns the interceptor's pick and the tokens that are expected to be cached there.
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

// interceptAdmit returns the interceptor's decision on an admission, own without an interceptor.
func (b *Balancer) interceptAdmit(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Admit(req.ID, own)
}

// interceptRetry returns the interceptor's decision on a further attempt, own without an interceptor.
func (b *Balancer) interceptRetry(req *request, own bool) bool {
	if b.interceptor == nil {
		return own
	}
	return b.interceptor.Retry(req.ID, own)
}
