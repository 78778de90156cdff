package balancer

import (
	"math"
	"testing"
)

// breakdownChecker is an Interceptor that checks that the components of each breakdown yield its
// score.
type breakdownChecker struct {
	t           *testing.T
	scoredCount int
}

func (c *breakdownChecker) Pick(_ RequestID, own ReplicaID, found bool, scored []ScoreBreakdown) (ReplicaID, bool) {
	for _, breakdown := range scored {
		held := (1-breakdown.ReportWeight)*(breakdown.PeerLoad+breakdown.LedgerLoad) + breakdown.ReportWeight*(breakdown.Reported+breakdown.Unreported) + breakdown.Noise
		score := (breakdown.Slowness*(held+breakdown.RequestTokens) + breakdown.PrefillCost*(breakdown.PromptTokens-breakdown.CachedTokens)) * breakdown.Penalty
		if math.Abs(score-breakdown.Score) > 1e-9*breakdown.Score {
			c.t.Errorf("replica %d: the components yield %.1f, the score is %.1f", breakdown.Replica, score, breakdown.Score)
		}
		c.scoredCount++
	}
	return own, found
}

// The breakdowns that replay explains yield the scores, also for idle replicas, whose reported load
// is raised.
func TestBreakdownAddsUpToTheScore(t *testing.T) {
	b, _ := startBalancer(t, largeFleetSettings(), fleet(40)...)
	checker := &breakdownChecker{t: t}
	b.SetInterceptor(checker)
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	for _, row := range b.rows { // a third of them idle
		b.HealthCheckEnded(110*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(float64(row.id % 3 * 6))})
	}
	b.meanLoad = 9600
	b.RequestArrived(110*second, testRequest(1))
	if checker.scoredCount != 40 {
		t.Errorf("%d replicas were scored, expected 40", checker.scoredCount)
	}
}
