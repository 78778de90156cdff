package balancer

import (
	"math"
	"testing"
)

// breakdownChecker is an Interceptor that checks that a pick's breakdowns make up its scores.
type breakdownChecker struct {
	t *testing.T
	n int
}

func (j *breakdownChecker) Pick(_ RequestID, own ReplicaID, found bool, scored []ScoreBreakdown) (ReplicaID, bool) {
	for _, w := range scored {
		held := (1-w.ReportWeight)*(w.PeerLoad+w.LedgerLoad) + w.ReportWeight*(w.Reported+w.Unreported) + w.Noise
		score := (w.Slowness*(held+w.RequestTokens) + w.PrefillCost*(w.PromptTokens-w.CachedTokens)) * w.Penalty
		if math.Abs(score-w.Score) > 1e-9*w.Score {
			j.t.Errorf("replica %d: the breakdown makes %.1f, its score is %.1f", w.Replica, score, w.Score)
		}
		j.n++
	}
	return own, found
}

// What replay explains is how the score was made up, also where a report is not believed.
func TestBreakdownAddsUpToTheScore(t *testing.T) {
	b, _ := startBalancer(t, largeFleetSettings(), fleet(40)...)
	j := &breakdownChecker{t: t}
	b.SetInterceptor(j)
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	for _, row := range b.rows { // a third of them idle
		b.HealthCheckEnded(110*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(float64(row.id % 3 * 6))})
	}
	b.meanLoad = 9600
	b.RequestArrived(110*second, testRequest(1))
	if j.n != 40 {
		t.Errorf("%d replicas were scored", j.n)
	}
}
