package balancer

import (
	"cmp"
	"math"
)

const (
	// defaultHedgeRatio is the number of hedges allowed per request.
	defaultHedgeRatio = 0.02
	// defaultRetryRatio is the number of retries allowed per request.
	defaultRetryRatio = 0.2
	// budgetCap bounds the unused hedges and the unused retries that can accumulate.
	budgetCap = 8.0
)

// attemptBudgets holds the numbers of hedges and retries that are still allowed.
type attemptBudgets struct {
	hedgeBudget, retryBudget float64
}

func (b *Balancer) initBudgets() {
	b.hedgeBudget, b.retryBudget = 1, budgetCap
}

// refillBudgets adds the allowance of one request to the budgets, in proportion to the
// fraction of requests that are on time.
func (b *Balancer) refillBudgets() {
	onTimeFraction := 1 - b.lateFraction
	b.hedgeBudget = math.Min(budgetCap, b.hedgeBudget+cmp.Or(b.settings.HedgeRatio, defaultHedgeRatio)*onTimeFraction)
	b.retryBudget = math.Min(budgetCap, b.retryBudget+cmp.Or(b.settings.RetryRatio, defaultRetryRatio)*onTimeFraction)
}

// takeRetry reports whether the budget allows a retry after an attempt's end, and charges
// the budget. An attempt that never ran cost no work, so its retry is not charged.
func (b *Balancer) takeRetry(status Status) bool {
	if status.NeverRan() {
		return true
	}
	if b.retryBudget < 1 {
		return false
	}
	b.retryBudget--
	return true
}

// hedgeDelay returns how long an attempt may run without a first token before a hedge is
// considered; 0: never.
func (b *Balancer) hedgeDelay(req *request, a *attempt) Micros {
	if !b.mayHedge(req) {
		return 0
	}
	// Well beyond the expected first-token time, and so late that waiting is likely to miss
	// the latency objective.
	return max(int64(3*b.firstTokenFit.predict(a.prefillTokens)), b.latencyObjective(req)/2)
}

// mayHedge reports whether a request's class and policy allow another attempt while one is
// in flight.
func (b *Balancer) mayHedge(req *request) bool {
	class := b.classOf(req)
	return req.policy.mayHedge && class.Idempotency == Idempotent && class.Streaming && len(req.attempts) < req.policy.maxAttempts
}

// hedge dispatches a second attempt of a request in addition to the one in flight, if the
// budget allows.
func (b *Balancer) hedge(now Micros, req *request) {
	if req.hedged || req.inFlight != 1 {
		return
	}
	for _, a := range req.attempts {
		if !a.ended { // the elapsed time is a lower bound of its slowness
			expected := math.Max(1, b.firstTokenFit.predict(a.prefillTokens))
			a.row.recordSlowness(now, float64(now-a.sentAt)/expected)
		}
	}
	if !b.interceptRetry(req, b.hedgeBudget >= 1) {
		return
	}
	req.hedged = true
	if b.dispatch(now, req) {
		b.hedgeBudget--
	}
}
