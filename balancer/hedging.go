package balancer

import (
	"cmp"
	"math"
)

const (
	// defaultHedgeRatio and defaultRetryRatio are the hedges and retries allowed for each
	// request, and budgetCap the most that can be saved up of either.
	defaultHedgeRatio, defaultRetryRatio, budgetCap = 0.02, 0.2, 8.0
)

// attemptBudgets is what is left of the budgets for further attempts.
type attemptBudgets struct {
	hedgeBudget, retryBudget float64
}

func (b *Balancer) initBudgets() {
	b.hedgeBudget, b.retryBudget = 1, budgetCap
}

// refillBudgets adds one request's share to the budgets, which shrinks as the fleet falls behind.
func (b *Balancer) refillBudgets() {
	inTime := 1 - b.lateFraction
	b.hedgeBudget = math.Min(budgetCap, b.hedgeBudget+cmp.Or(b.settings.HedgeRatio, defaultHedgeRatio)*inTime)
	b.retryBudget = math.Min(budgetCap, b.retryBudget+cmp.Or(b.settings.RetryRatio, defaultRetryRatio)*inTime)
}

// takeRetry reports whether the budget allows a retry after an attempt's end, and charges
// it. An attempt that never ran cost no work.
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

// hedgeDelay is how long an attempt may go without a first token before a hedge is
// considered; 0: never.
func (b *Balancer) hedgeDelay(req *request, a *attempt) Micros {
	if !b.mayHedge(req) {
		return 0
	}
	// Long past what is usual for so many tokens, and late enough before the latency
	// objective that waiting is likely to miss it.
	return max(int64(3*b.firstTokenFit.predict(a.prefillTokens)), b.latencyObjective(req)/2)
}

// mayHedge reports whether a request's class and policy allow an attempt beside another.
func (b *Balancer) mayHedge(req *request) bool {
	class := b.classOf(req)
	return req.policy.mayHedge && class.Idempotency == Idempotent && class.Streaming && len(req.attempts) < req.policy.maxAttempts
}

// hedge dispatches a second attempt of a request beside the one in flight, if the budget allows.
func (b *Balancer) hedge(now Micros, req *request) {
	if req.hedged || req.inFlight != 1 {
		return
	}
	for _, a := range req.attempts {
		if !a.ended { // it is at least so slow
			usual := math.Max(1, b.firstTokenFit.predict(a.prefillTokens))
			a.row.recordSlowness(now, float64(now-a.sentAt)/usual)
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
